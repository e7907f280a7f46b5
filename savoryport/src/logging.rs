//! Structured logs on standard error.
//!
//! Lines are written for changes of state only; what happens often is counted instead.

use std::io::Write;

use env_logger::Env;
use log::kv::{Key, Value, VisitSource};

/// Writes the key-values of a record after its message.
struct Pairs<'a, W: Write>(&'a mut W);

impl<'kvs, W: Write> VisitSource<'kvs> for Pairs<'_, W> {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), log::kv::Error> {
        write!(self.0, " {key}={value}").map_err(log::kv::Error::from)
    }
}

/// Starts logging for a program; `SAVORYPORT_LOG` sets the levels.
pub fn start(program: &'static str, level: &str) {
    // Libraries log each call that they make; only what this project says is a change of state.
    let env = Env::new().filter_or("SAVORYPORT_LOG", format!("off,savoryport={level}"));
    let _ = env_logger::Builder::from_env(env)
        .format(move |buf, record| {
            let time = buf.timestamp_millis();
            write!(buf, "{time} {} {program} {}", record.level(), record.args())?;
            let _ = record.key_values().visit(&mut Pairs(buf));
            writeln!(buf)
        })
        .try_init();
}
