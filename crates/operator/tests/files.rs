//! Reading of the operator's settings file: defaults, values with their lines, and error messages for faulty files.

use proptest::prelude::*;
use rstest::rstest;
use stonescale::time::Span;
use stonescale_operator::{IniSettings, LogFormat, OperatorSettings};

fn read(text: &str) -> Result<OperatorSettings, String> {
    OperatorSettings::from_ini(IniSettings::parse("op.ini", text)?).map(|(settings, _)| settings)
}

/// Guards against a default that differs from deploy/operator.ini, and against a key that the file leaves out.
#[test]
fn shipped_file_sets_every_key_to_its_default() {
    let text = include_str!("../../../deploy/operator.ini");
    let (settings, effective) =
        OperatorSettings::from_ini(IniSettings::parse("operator.ini", text).unwrap()).unwrap();
    assert_eq!(settings, OperatorSettings::default());
    let unset: Vec<_> = effective.iter().filter(|setting| setting.line.is_none()).collect();
    assert!(unset.is_empty(), "{unset:?}");
}

#[test]
fn set_values_are_reported_with_their_lines_and_others_as_defaults() {
    let text = "[log]\nformat = json\n\n[memory]\n; often\nreport_every = 250ms\n[memory.owed]\ncap = 30%\n";
    let (settings, effective) =
        OperatorSettings::from_ini(IniSettings::parse("op.ini", text).unwrap()).unwrap();
    assert_eq!((settings.log.format, settings.memory.report_every), (LogFormat::Json, Span::millis(250)));
    let value_and_line = |section: &str, key: &str| {
        let setting =
            effective.iter().find(|setting| setting.section == section && setting.key == key).unwrap();
        (setting.value.clone(), setting.line)
    };
    assert_eq!(value_and_line("memory", "report_every"), ("250ms".into(), Some(6)));
    assert_eq!(value_and_line("memory.owed", "cap"), ("30%".into(), Some(8)));
    assert_eq!(value_and_line("log", "lines_per_second"), ("40".into(), None));
}

#[rstest]
#[case::unknown_section(
    "[memory.hats]\ncap = 1%",
    "op.ini: line 1: [memory.hats] is an unknown section; known: log, memory"
)]
#[case::unknown_key(
    "[log]\ncolour = red",
    "op.ini: line 2: [log] colour is an unknown key; known: format, lines_per_second"
)]
#[case::key_outside_sections("cap = 5%", "[] is an unknown section")]
#[case::duplicate_key(
    "[log]\nformat = text\nformat = json",
    "op.ini: line 3: [log] format is a duplicate key"
)]
#[case::unknown_format(
    "[log]\nformat = xml",
    "op.ini: line 2: [log] format = 'xml' is not one of 'text' and 'json'"
)]
#[case::zero_lines(
    "[log]\nlines_per_second = 0",
    "line 2: [log] lines_per_second = '0' is not an integer from 1 to 100000"
)]
#[case::not_a_duration(
    "[memory]\nreport_every = soon",
    "line 2: [memory] report_every = 'soon' is not a duration such as"
)]
#[case::duration_over_a_year("[memory]\nreport_every = 5000days", "longer than 366 days")]
#[case::cap_over_100_percent(
    "[memory.work]\ncap = 120%",
    "line 2: [memory.work] cap = '120%' is not a percentage"
)]
#[case::missing_percent_sign("[memory.work]\ncap = 0.5", "is not a percentage such as 25%")]
#[case::negative_reserve(
    "[memory.owed]\nreserve = -5%",
    "line 2: [memory.owed] reserve = '-5%' is not a percentage"
)]
#[case::zero_cap("[memory.work]\ncap = 0%\nreserve = 0%", "line 1: [memory.work] work: a cap of 0 %")]
#[case::reserve_over_cap(
    "[memory.owed]\nreserve = 40%",
    "line 1: [memory.owed] owed: a reserve of 40 % exceeds the cap of 25 %"
)]
#[case::reserves_over_100_percent(
    "[memory.owed]\ncap = 60%\nreserve = 60%\n[memory.halves]\ncap = 50%\nreserve = 50%",
    "the reserves add up to"
)]
#[case::not_ini("[log\nformat", "op.ini: line ")]
fn faulty_file_is_rejected_with_a_one_line_message(#[case] text: &str, #[case] expected: &str) {
    let message = read(text).unwrap_err();
    assert!(message.contains(expected) && message.lines().count() == 1, "{message}");
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::with_cases(300) })]

    #[test]
    fn reading_arbitrary_text_does_not_panic(text in "(\\[[a-z.]{0,12}\\]|[a-z_]{0,8} ?[=:]? ?[0-9a-z%\"\\\\]{0,6}|[;#].{0,5}|\\PC{0,8})(\n(\\[[a-z.]{0,12}\\]|[a-z_]{0,8} ?= ?[0-9a-z%]{0,6}|\\PC{0,8})){0,12}") {
        let _ = read(&text);
    }
}
