//! Tests of the line fitted to points, and of parsing the overhead example's output.

use capacity::fit::{Fit, Point};
use capacity::printed::{cpu_by_answer_tokens, cpu_by_request_rate, memory_by_request_rate};

fn points(pairs: &[(f64, f64)]) -> Vec<Point> {
    pairs.iter().map(|(x, y)| Point::new(*x, *y)).collect()
}

#[test]
fn points_on_a_line_give_the_line() {
    let fit = Fit::new(&points(&[(7.0, 17.0), (50.0, 103.0), (350.0, 703.0)])).unwrap();
    assert!((fit.slope - 2.0).abs() < 1e-12, "{fit:?}");
    assert!((fit.intercept - 3.0).abs() < 1e-9, "{fit:?}");
    assert!(fit.residual < 1e-9, "{fit:?}");
    assert!((fit.value_at(1_000.0) - 2_003.0).abs() < 1e-6);
}

#[test]
fn the_residual_is_the_largest_distance_from_the_line() {
    let fit = Fit::new(&points(&[(0.0, 0.0), (1.0, 3.0), (2.0, 0.0)])).unwrap();
    assert_eq!(fit, Fit { slope: 0.0, intercept: 1.0, residual: 2.0 });
}

#[test]
fn fewer_than_two_sizes_give_no_line() {
    assert_eq!(Fit::new(&[]), None);
    assert_eq!(Fit::new(&points(&[(1.0, 1.0)])), None);
    assert_eq!(Fit::new(&points(&[(1.0, 1.0), (1.0, 2.0)])), None);
}

#[test]
fn runs_of_the_overhead_example_are_parsed() {
    let text = "requests/s 100, tokens/s 1200\nthrough the daemon 1 2 3 0\n\
                daemon: 0.50 s of processor time, 6.2% of one core\ndaemon: 640.5 us a request\n\
                requests/s 100, tokens/s 4800\ndaemon: 2_000 us a request\n\
                requests/s 50, tokens/s 2400\ndaemon: 900.0 us a request\ndaemon: resident 9 KiB\n";
    assert_eq!(cpu_by_answer_tokens(text), points(&[(12.0, 640.5), (48.0, 900.0)]));
    assert_eq!(cpu_by_request_rate(text), points(&[(100.0, 64_050.0), (50.0, 45_000.0)]));
    assert_eq!(memory_by_request_rate(text), points(&[(100.0, 0.0), (50.0, 9.0)]));
}
