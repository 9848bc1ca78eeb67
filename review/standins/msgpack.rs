//! MessagePack, the encoding of bodies that `deploy/wire.toml` chooses.

#[derive(Clone, Debug, PartialEq)]
pub enum Value {
    Nil,
    Bool(bool),
    Int(i64),
    Float(f64),
    Text(String),
    Bytes(Vec<u8>),
    List(Vec<Value>),
    Map(Vec<(String, Value)>),
}

impl Value {
    pub fn get(&self, name: &str) -> &Value {
        match self {
            Value::Map(fields) => {
                fields.iter().find(|(key, _)| key == name).map_or(&Value::Nil, |(_, value)| value)
            }
            _ => &Value::Nil,
        }
    }

    pub fn int(&self) -> Option<i64> {
        match self {
            Value::Int(number) => Some(*number),
            Value::Float(number) => Some(*number as i64),
            _ => None,
        }
    }

    pub fn text(&self) -> &str {
        match self {
            Value::Text(text) => text,
            _ => "",
        }
    }

    pub fn list(&self) -> &[Value] {
        match self {
            Value::List(items) => items,
            _ => &[],
        }
    }

    pub fn encode(&self) -> Vec<u8> {
        let mut bytes = Vec::new();
        self.write(&mut bytes);
        bytes
    }

    fn write(&self, out: &mut Vec<u8>) {
        match self {
            Value::Nil => out.push(0xc0),
            Value::Bool(value) => out.push(if *value { 0xc3 } else { 0xc2 }),
            Value::Int(number) if (0..128).contains(number) => out.push(*number as u8),
            Value::Int(number) if *number >= 0 => {
                out.push(0xcf);
                out.extend((*number as u64).to_be_bytes());
            }
            Value::Int(number) => {
                out.push(0xd3);
                out.extend(number.to_be_bytes());
            }
            Value::Float(number) => {
                out.push(0xcb);
                out.extend(number.to_be_bytes());
            }
            Value::Text(text) => {
                out.push(0xdb);
                out.extend((text.len() as u32).to_be_bytes());
                out.extend(text.as_bytes());
            }
            Value::Bytes(bytes) => {
                out.push(0xc6);
                out.extend((bytes.len() as u32).to_be_bytes());
                out.extend(bytes);
            }
            Value::List(items) => {
                out.push(0xdd);
                out.extend((items.len() as u32).to_be_bytes());
                items.iter().for_each(|item| item.write(out));
            }
            Value::Map(fields) => {
                out.push(0xdf);
                out.extend((fields.len() as u32).to_be_bytes());
                for (key, value) in fields {
                    Value::Text(key.clone()).write(out);
                    value.write(out);
                }
            }
        }
    }

    pub fn decode(bytes: &[u8]) -> Option<Value> {
        let mut rest = bytes;
        read(&mut rest)
    }
}

fn take<'a>(rest: &mut &'a [u8], count: usize) -> Option<&'a [u8]> {
    if rest.len() < count {
        return None;
    }
    let (first, after) = rest.split_at(count);
    *rest = after;
    Some(first)
}

fn uint(rest: &mut &[u8], bytes: usize) -> Option<u64> {
    Some(take(rest, bytes)?.iter().fold(0, |sum, byte| sum << 8 | u64::from(*byte)))
}

fn text(rest: &mut &[u8], length: usize) -> Option<Value> {
    Some(Value::Text(String::from_utf8_lossy(take(rest, length)?).into_owned()))
}

fn list(rest: &mut &[u8], length: usize) -> Option<Value> {
    (0..length).map(|_| read(rest)).collect::<Option<Vec<_>>>().map(Value::List)
}

fn map(rest: &mut &[u8], length: usize) -> Option<Value> {
    let mut fields = Vec::new();
    for _ in 0..length {
        let key = read(rest)?.text().to_owned();
        fields.push((key, read(rest)?));
    }
    Some(Value::Map(fields))
}

fn read(rest: &mut &[u8]) -> Option<Value> {
    let kind = take(rest, 1)?[0];
    match kind {
        0x00..=0x7f => Some(Value::Int(i64::from(kind))),
        0x80..=0x8f => map(rest, usize::from(kind & 0x0f)),
        0x90..=0x9f => list(rest, usize::from(kind & 0x0f)),
        0xa0..=0xbf => text(rest, usize::from(kind & 0x1f)),
        0xc0 => Some(Value::Nil),
        0xc2 => Some(Value::Bool(false)),
        0xc3 => Some(Value::Bool(true)),
        0xc4..=0xc6 => {
            let length = uint(rest, 1 << (kind - 0xc4))? as usize;
            Some(Value::Bytes(take(rest, length)?.to_vec()))
        }
        0xca => Some(Value::Float(f64::from(f32::from_bits(uint(rest, 4)? as u32)))),
        0xcb => Some(Value::Float(f64::from_bits(uint(rest, 8)?))),
        0xcc..=0xcf => Some(Value::Int(uint(rest, 1 << (kind - 0xcc))? as i64)),
        0xd0 => Some(Value::Int(i64::from(uint(rest, 1)? as i8))),
        0xd1 => Some(Value::Int(i64::from(uint(rest, 2)? as i16))),
        0xd2 => Some(Value::Int(i64::from(uint(rest, 4)? as i32))),
        0xd3 => Some(Value::Int(uint(rest, 8)? as i64)),
        0xd9..=0xdb => {
            let length = uint(rest, 1 << (kind - 0xd9))? as usize;
            text(rest, length)
        }
        0xdc | 0xdd => {
            let length = uint(rest, 2 << (kind - 0xdc))? as usize;
            list(rest, length)
        }
        0xde | 0xdf => {
            let length = uint(rest, 2 << (kind - 0xde))? as usize;
            map(rest, length)
        }
        _ => Some(Value::Int(i64::from(kind as i8))),
    }
}

impl From<&str> for Value {
    fn from(text: &str) -> Self {
        Value::Text(text.to_owned())
    }
}

impl From<String> for Value {
    fn from(text: String) -> Self {
        Value::Text(text)
    }
}

impl From<bool> for Value {
    fn from(value: bool) -> Self {
        Value::Bool(value)
    }
}

impl From<f64> for Value {
    fn from(number: f64) -> Self {
        Value::Float(number)
    }
}

macro_rules! from_integers {
    ($($kind:ty)*) => {
        $(impl From<$kind> for Value {
            fn from(number: $kind) -> Self {
                Value::Int(number as i64)
            }
        })*
    };
}
from_integers!(i32 i64 u32 u64 usize);

impl<T: Into<Value>> From<Vec<T>> for Value {
    fn from(items: Vec<T>) -> Self {
        Value::List(items.into_iter().map(Into::into).collect())
    }
}

/// Builds a map: `map! { "name": value, ... }`.
#[macro_export]
macro_rules! map {
    ($($name:literal : $value:expr),* $(,)?) => {
        $crate::msgpack::Value::Map(vec![$(($name.to_owned(), $crate::msgpack::Value::from($value))),*])
    };
}
