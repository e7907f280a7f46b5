//! Runs one script of the review: `review-2 NAME RECORD`. TROUBLE=0 leaves out the disturbance.

mod flood;
mod http;
mod json;
mod leaving;
mod memory;
mod node;
mod parts;
mod poison;
mod record;
mod roll;
mod server;
mod site;
mod spoilt;
mod store;
mod turns;

fn main() {
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    match std::env::args().nth(1).as_deref() {
        Some("flood") => flood::run(has_trouble),
        Some("leaving") => leaving::run(has_trouble),
        Some("turns") => turns::run(has_trouble),
        Some("roll") => roll::run(has_trouble),
        Some("spoilt") => spoilt::run(has_trouble),
        Some("parts") => parts::run(has_trouble),
        Some("memory") => memory::run(has_trouble),
        Some("poison") => poison::run(has_trouble),
        _ => std::process::exit(2),
    }
}
