//! OperatorSettings's files, lawful and wrong.

use proptest::prelude::*;
use rstest::rstest;
use stonescale::time::Span;
use stonescale_operator::{IniSettings, LogFormat, OperatorSettings};

fn read(text: &str) -> Result<OperatorSettings, String> {
    OperatorSettings::from_ini(IniSettings::parse("op.ini", text)?).map(|(operator, _)| operator)
}

#[test]
fn the_shipped_file_holds_the_defaults_and_names_them_all() {
    let text = include_str!("../../../deploy/operator.ini");
    let (operator, in_force) =
        OperatorSettings::from_ini(IniSettings::parse("operator.ini", text).unwrap()).unwrap();
    assert_eq!(operator, OperatorSettings::default());
    let left_out: Vec<_> = in_force.iter().filter(|f| f.line.is_none()).collect();
    assert!(left_out.is_empty(), "{left_out:?}");
}

#[test]
fn what_is_set_is_in_force_with_its_line_and_the_rest_by_default() {
    let text = "[log]\nformat = json\n\n[memory]\n; often\nreport_every = 250ms\n[memory.owed]\ncap = 30%\n";
    let (operator, in_force) =
        OperatorSettings::from_ini(IniSettings::parse("op.ini", text).unwrap()).unwrap();
    assert_eq!((operator.log.format, operator.memory.report_every), (LogFormat::Json, Span::millis(250)));
    let line = |section: &str, key: &str| {
        let row = in_force.iter().find(|f| f.section == section && f.key == key).unwrap();
        (row.value.clone(), row.line)
    };
    assert_eq!(line("memory", "report_every"), ("250ms".into(), Some(6)));
    assert_eq!(line("memory.owed", "cap"), ("30%".into(), Some(8)));
    assert_eq!(line("log", "lines_per_second"), ("40".into(), None));
}

#[rstest]
#[case::section(
    "[memory.hats]\ncap = 1%",
    "op.ini: line 1: [memory.hats] is no section here; known: log, memory"
)]
#[case::key(
    "[log]\ncolour = red",
    "op.ini: line 2: [log] colour is no key here; known: format, lines_per_second"
)]
#[case::no_section("cap = 5%", "[] is no section here")]
#[case::twice("[log]\nformat = text\nformat = json", "op.ini: line 3: [log] format is set twice")]
#[case::format("[log]\nformat = xml", "op.ini: line 2: [log] format = 'xml' is neither 'text' nor 'json'")]
#[case::lines("[log]\nlines_per_second = 0", "line 2: [log] lines_per_second = '0' is not a number of lines")]
#[case::span("[memory]\nreport_every = soon", "line 2: [memory] report_every = 'soon' is not a span")]
#[case::long_span("[memory]\nreport_every = 5000days", "longer than a year")]
#[case::share_over_all("[memory.work]\ncap = 120%", "line 2: [memory.work] cap = '120%' is not a part")]
#[case::no_percent("[memory.work]\ncap = 0.5", "is not a part such as 25%")]
#[case::negative("[memory.owed]\nreserve = -5%", "line 2: [memory.owed] reserve = '-5%' is not a part")]
#[case::no_cap("[memory.work]\ncap = 0%\nreserve = 0%", "line 1: [memory.work] work: a cap of nothing")]
#[case::reserve_over_cap(
    "[memory.owed]\nreserve = 40%",
    "line 1: [memory.owed] owed: a reserve of 40 % is over the cap of 25 %"
)]
#[case::reserves_over_all(
    "[memory.owed]\ncap = 60%\nreserve = 60%\n[memory.halves]\ncap = 50%\nreserve = 50%",
    "the reserves come to"
)]
#[case::not_ini("[log\nformat", "op.ini: line ")]
fn a_wrong_file_is_refused_with_one_readable_line(#[case] text: &str, #[case] why: &str) {
    let told = read(text).unwrap_err();
    assert!(told.contains(why) && told.lines().count() == 1, "{told}");
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::with_cases(300) })]

    #[test]
    fn no_text_makes_the_reader_panic(text in "(\\[[a-z.]{0,12}\\]|[a-z_]{0,8} ?[=:]? ?[0-9a-z%\"\\\\]{0,6}|[;#].{0,5}|\\PC{0,8})(\n(\\[[a-z.]{0,12}\\]|[a-z_]{0,8} ?= ?[0-9a-z%]{0,6}|\\PC{0,8})){0,12}") {
        let _ = read(&text);
    }
}
