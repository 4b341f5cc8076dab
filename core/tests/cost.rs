//! Estimated tokens, prefix checksums and service times.

use {
    rstest::rstest,
    tamarackdale_core::cost::{BLOCK_TOKENS, Cost, MAX_PREFIXES, Rates},
};

const BLOCK: &str = "Sharpen the plane iron at 25 degrees, hone at 30, then strop it.";

fn prompt(blocks: usize, end: &str) -> String {
    // One block is 256 bytes, four times the sentence.
    BLOCK.repeat(4 * blocks) + end
}

#[rstest]
#[case::empty("", 0)]
#[case::rounded_up("honed", 2)]
#[case::whole_block(&prompt(1, ""), BLOCK_TOKENS)]
fn prompt_tokens_are_estimated_from_the_length(#[case] prompt: &str, #[case] tokens: u32) {
    assert_eq!(Cost::estimate(prompt, 10).prefill_tokens, tokens);
}

#[test]
fn prompts_share_prefix_checksums_of_common_leading_blocks_only() {
    let first = Cost::estimate(&prompt(3, &"a".repeat(256)), 10);
    let second = Cost::estimate(&prompt(3, &"b".repeat(256)), 10);

    assert_eq!(first.prefixes.len(), 4);
    assert_eq!(first.prefixes[..3], second.prefixes[..3]);
    assert_ne!(first.prefixes[3], second.prefixes[3]);
}

#[test]
fn equal_blocks_after_different_blocks_have_different_prefix_checksums() {
    let first = Cost::estimate(&("a".repeat(256) + &prompt(1, "")), 10);
    let second = Cost::estimate(&("b".repeat(256) + &prompt(1, "")), 10);

    assert_ne!(first.prefixes[1], second.prefixes[1]);
}

#[test]
fn number_of_prefixes_is_bounded() {
    let cost = Cost::estimate(&prompt(2 * MAX_PREFIXES, ""), 10);

    assert_eq!(cost.prefixes.len(), MAX_PREFIXES);
}

#[test]
fn service_time_is_the_sum_of_prefill_and_decode() {
    let rates = Rates::new(1_000.0, 10.0);

    assert_eq!(rates.service_time(500, 25).as_secs_f64(), 3.0);
}
