//! The table's file and its versions: parsing, error reports, capacity check, merges and deltas.

use assert_matches::assert_matches;
use proptest::prelude::*;
use savoryport_core::rank::Rank;
use savoryport_core::table::{
    CellError, MAX_TABLE_BYTES, Row, RowKind, Table, TableDelta, TableError, check_memory_fit,
    merge_rows, parse_csv, to_csv,
};

const HEADER: &str = "kind,name,base,memory_mib,weight,rank,max_in_flight,first_token_ms,\
                      between_tokens_ms,min_copies,repeatable\n";

fn parse(rows: &str) -> Result<Vec<Row>, TableError> {
    parse_csv(format!("{HEADER}{rows}").as_bytes())
}

fn only_error(rows: &str) -> CellError {
    match parse(rows) {
        Err(TableError::Cells(mut errors)) if errors.len() == 1 => errors.remove(0),
        other => panic!("{rows:?}: expected one error, got {other:?}"),
    }
}

#[test]
fn each_invalid_cell_is_reported_with_line_column_and_value() {
    let model = "model,m,,100,1,urgent,8,800,70,1,yes\n";
    let cases = [
        ("model,m,,-5,1,urgent,8,800,70,1,yes\n", 2, "memory_mib", "-5"),
        ("model,m,,lots,1,urgent,8,800,70,1,yes\n", 2, "memory_mib", "lots"),
        ("model,m,,0,1,urgent,8,800,70,1,yes\n", 2, "memory_mib", "0"),
        ("model,m,,100,1,soon,8,800,70,1,yes\n", 2, "rank", "soon"),
        ("model,m,,100,1,urgent,8,800,70,1,maybe\n", 2, "repeatable", "maybe"),
        ("model,m,,100,1,urgent,8,800,70,1,no\n", 2, "repeatable", "no"),
        ("model,,,100,1,urgent,8,800,70,1,yes\n", 2, "name", ""),
        ("model,a b,,100,1,urgent,8,800,70,1,yes\n", 2, "name", "a b"),
        ("thing,m,,100,1,urgent,8,800,70,1,yes\n", 2, "kind", "thing"),
        ("model,m,x,100,1,urgent,8,800,70,1,yes\n", 2, "base", "x"),
        ("model,m,,100,1,urgent,8,800,70,0,yes\n", 2, "min_copies", "0"),
        ("adapter,a,gone,10,1,urgent,8,800,70,1,yes\n", 2, "base", "gone"),
    ];
    for (rows, line, column, value) in cases {
        let errors = match parse(rows) {
            Err(TableError::Cells(errors)) => errors,
            other => panic!("{rows:?}: {other:?}"),
        };
        let found =
            errors.iter().any(|err| err.line == line && err.column == column && err.value == value);
        assert!(found, "{rows:?}: {errors:?}");
    }
    let duplicate = format!("{model}{model}");
    assert_matches!(only_error(&duplicate), CellError { line: 3, column, .. } if column == "name");
    let adapter = format!("{model}adapter,a,,10,1,urgent,8,800,70,1,yes\n");
    assert_matches!(only_error(&adapter), CellError { line: 3, column, .. } if column == "base");
}

#[test]
fn csv_written_by_spreadsheets_is_accepted() {
    let text = format!("\u{feff}{HEADER}\"model\",m,,100,1,urgent,8,800,70,1,yes\n");
    let text = text.replace('\n', "\r\n");
    let rows = parse_csv(text.as_bytes()).unwrap();
    assert_eq!((rows[0].kind, rows[0].rank), (RowKind::Model, Rank::Urgent));
    // A quoted comma is part of its cell, and invalid in a name.
    assert_eq!(only_error("model,\"a,b\",,1,1,urgent,8,800,70,1,yes\n").column, "name");
}

#[test]
fn missing_columns_and_ragged_records_are_reported() {
    assert_matches!(parse_csv(b"kind,name\n"), Err(TableError::MissingColumns(names))
        if names.starts_with("base, memory_mib"));
    assert_matches!(parse("model,m\n"), Err(TableError::NotCsv { line: 2, .. }));
    assert_matches!(parse_csv(b""), Err(TableError::MissingColumns(_)));
}

#[test]
fn a_table_one_byte_too_large_is_rejected_with_its_size() {
    let row = parse("model,m,,100,1,urgent,8,800,70,1,yes\n").unwrap().remove(0);
    let mut table = Table { rows: vec![row; 3_000], ..Table::default() };
    let len = table.encode().unwrap().len();
    table.change_id = "x".repeat(MAX_TABLE_BYTES - len);
    assert_eq!(table.encode().unwrap().len(), MAX_TABLE_BYTES);
    table.change_id.push('x');
    let bytes = MAX_TABLE_BYTES + 1;
    assert_eq!(table.encode(), Err(TableError::TooLarge { bytes }));
}

#[test]
fn a_table_that_does_not_fit_into_memory_is_rejected_with_row_and_column() {
    let rows = parse(
        "model,a,,60,1,urgent,8,800,70,2,yes\nadapter,x,a,30,1,urgent,8,800,70,1,yes\n\
         model,b,,50,1,urgent,8,800,70,1,yes\n",
    )
    .unwrap();
    assert_eq!(check_memory_fit(&rows, &[100, 100, 50]), Ok(()));
    assert_matches!(check_memory_fit(&rows, &[80, 80]), Err(TableError::Cells(errors))
        if errors[0].line == 2 && errors[0].column == "memory_mib");
    assert_matches!(check_memory_fit(&rows, &[100, 60]), Err(TableError::Cells(errors))
        if errors[0].line == 2 && errors[0].column == "min_copies");
}

#[test]
fn changes_of_different_rows_merge_and_of_the_same_row_conflict() {
    let base = parse("model,a,,10,1,urgent,8,800,70,1,yes\nmodel,b,,10,1,urgent,8,800,70,1,yes\n")
        .unwrap();
    let (mut ours, mut theirs) = (base.clone(), base.clone());
    ours[0].weight = 5;
    theirs.remove(1);
    let merged = merge_rows(&base, &ours, &theirs).unwrap();
    assert_eq!((merged.len(), merged[0].weight), (1, 5));
    theirs = base.clone();
    theirs[0].weight = 6;
    let conflict = merge_rows(&base, &ours, &theirs).unwrap_err();
    assert_eq!(&*conflict.names[0], "a");
}

fn arbitrary_rows() -> impl Strategy<Value = Vec<Row>> {
    prop::collection::btree_map("[a-e]", (1..99_u32, 1..9_u32), 0..5).prop_map(|rows| {
        let row = |(name, (memory_mib, weight)): (String, (u32, u32))| Row {
            kind: RowKind::Model,
            name: name.into(),
            base: None,
            memory_mib,
            weight,
            rank: Rank::Normal,
            max_in_flight: 4,
            first_token_ms: 900,
            between_tokens_ms: 50,
            min_copies: 1,
            repeatable: true,
        };
        rows.into_iter().map(row).collect()
    })
}

proptest! {
    /// The parser returns rows or an error for any bytes.
    #[test]
    fn any_bytes_are_read_or_refused(buf in prop::collection::vec(any::<u8>(), 0..400)) {
        let _ = parse_csv(&buf);
    }

    /// Cells that resemble those of real rows reach the checks of single columns.
    #[test]
    fn any_cells_are_read_or_refused(
        cells in prop::collection::vec("(model|adapter|service|[a-z0-9,\"-]{0,6})", 0..40)
    ) {
        let _ = parse(&cells.join(","));
    }

    #[test]
    fn parsing_formatted_rows_gives_the_same_rows(rows in arbitrary_rows()) {
        prop_assert_eq!(parse_csv(to_csv(&rows).as_bytes()).unwrap(), rows);
    }

    #[test]
    fn applying_a_delta_gives_the_newer_table(old in arbitrary_rows(), new in arbitrary_rows()) {
        let old = Table { version: 3, change_id: String::new(), rows: old };
        let new = Table { version: 4, change_id: String::new(), rows: new };
        let delta = TableDelta::between(&old, &new);
        let mut result = delta.apply(&old).unwrap();
        result.rows.sort_by(|a, b| a.name.cmp(&b.name));
        prop_assert_eq!(&result, &new);
        prop_assert_eq!(delta.apply(&new), None);
    }
}
