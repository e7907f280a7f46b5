//! Which responses give way when the memory for them is used up.

use assert_matches::assert_matches;
use savoryport_core::node::response_memory::{Growth, ResponseMemory};

const KIB: usize = 1024;

/// Load pattern: eight bodies without end beside one sound answer after another.
#[test]
fn bodies_without_end_make_room_for_sound_ones() {
    let mut memory = ResponseMemory::new(256 * KIB);
    let mut endless: Vec<_> = (0..8).map(|_| memory.open()).collect();
    let mut abandoned = 0;
    for _ in 0..500 {
        for id in &mut endless {
            if memory.grow(*id, 16 * KIB) == Growth::Abandoned {
                abandoned += 1;
                *id = memory.open();
            }
            assert!(memory.used() <= 256 * KIB);
        }
        let sound = memory.open();
        assert_matches!(memory.grow(sound, 4 * KIB), Growth::Granted(_));
        memory.complete(sound);
        memory.close(sound);
    }
    assert!(abandoned > 8, "{abandoned} were abandoned");
    endless.into_iter().for_each(|id| memory.close(id));
    assert_eq!(memory.used(), 0);
}

#[test]
fn a_complete_response_does_not_give_way() {
    let mut memory = ResponseMemory::new(100);
    let (complete, reading) = (memory.open(), memory.open());
    assert_eq!(memory.grow(complete, 90), Growth::Granted(Vec::new()));
    memory.complete(complete);
    assert_eq!(memory.grow(reading, 20), Growth::Abandoned);
    memory.close(reading);
    memory.close(complete);
    assert_eq!(memory.used(), 0);
}
