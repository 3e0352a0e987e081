//! Checks of a target's answer on the product's own path, for any division into reads.

use buckthornwharf::agent::answer_check::{AnswerChecker, AnswerFault, AnswerFormat};
use bytes::Bytes;
use proptest::prelude::*;

fn checker() -> AnswerChecker {
    AnswerChecker::new(AnswerFormat::EventStream, None)
}

proptest! {
    #[test]
    fn a_stream_is_forwarded_whole_however_it_is_divided(
        texts in prop::collection::vec("[a-z]{0,12}", 0..8), part in 1_usize..40,
    ) {
        let event = |text: &String| format!("data: {{\"text\":\"{text}\"}}\n\n");
        let stream = texts.iter().map(event).collect::<String>() + "data: [DONE]\n\n";
        let mut checker = checker();
        let mut forwarded = Vec::new();
        for bytes in stream.as_bytes().chunks(part) {
            forwarded.extend(checker.push(Bytes::copy_from_slice(bytes)).expect("no fault"));
        }
        prop_assert_eq!(checker.finish(), Ok(Bytes::new()));
        prop_assert_eq!(forwarded, stream.into_bytes());
    }
}

#[test]
fn an_event_without_end_is_given_up() {
    let part = Bytes::from(vec![b'x'; 64 * 1024]);
    let mut checker = checker();
    let fault = (0..1024).find_map(|_| checker.push(part.clone()).err());
    assert_eq!(fault, Some(AnswerFault::TooLarge));
}
