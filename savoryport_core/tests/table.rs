//! The table's file and its versions: parsing, error reports, capacity check, merges and deltas.

use assert_matches::assert_matches;
use proptest::prelude::*;
use savoryport_core::rank::Rank;
use savoryport_core::table::{
    CellError, KeyDigest, MAX_TABLE_BYTES, Row, RowKind, Table, TableDelta, TableError, TeamKeys,
    check_key_digests, check_memory_fit, merge_rows, parse_csv, to_csv,
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

/// Parses a table whose header has the columns of teams.
fn parse_teams(rows: &str) -> Result<Vec<Row>, TableError> {
    let header = HEADER.trim_end();
    parse_csv(format!("{header},unit,per_second,burst,key_digests\n{rows}").as_bytes())
}

#[test]
fn teams_are_read_with_their_limits_and_digests() {
    let (first, second) = (KeyDigest::of("k1"), KeyDigest::of("k2"));
    let text = format!(
        "model,m,,100,1,urgent,8,800,70,1,yes,,,,\n\
         team,ada,,,,urgent,,,,,,tokens,29000,58000,{first} {second}\n\
         team,bob,,,,batch,,,,,,requests,0,0,\n"
    );
    let rows = parse_teams(&text).unwrap();
    let team = rows[1].team.as_ref().unwrap();
    assert_eq!((team.per_second, team.burst, team.key_digests.len()), (29_000, 58_000, 2));
    assert_eq!(parse_csv(to_csv(&rows).as_bytes()).unwrap(), rows);
    let table = Table { rows: rows.clone(), ..Table::default() };
    let decoded: Table = serde_json::from_slice(&table.encode().unwrap()).unwrap();
    assert_eq!(decoded, table);
    assert_eq!(table.items().count(), 1);
    let keys = TeamKeys::new(&rows);
    let (name, rank) = keys.team_of("k2").unwrap();
    assert_eq!((&**name, *rank), ("ada", Rank::Urgent));
    // The digest of a key is no key.
    assert!(keys.team_of(&first.to_string()).is_none() && keys.team_of("").is_none());
}

/// Guards against files and tables of deployments without teams that change.
#[test]
fn a_table_without_teams_is_written_as_before() {
    let rows = parse("model,m,,100,1,urgent,8,800,70,1,yes\n").unwrap();
    assert_eq!(to_csv(&rows), format!("{HEADER}model,m,,100,1,urgent,8,800,70,1,yes\n"));
    let json = String::from_utf8(Table { rows, ..Table::default() }.encode().unwrap()).unwrap();
    assert!(!json.contains("team"), "{json}");
    assert!(!TeamKeys::new(&[]).has_teams());
}

#[test]
fn a_team_twice_and_a_key_of_two_teams_are_refused_with_row_and_column() {
    let digest = KeyDigest::of("k1");
    let cases = [
        ("team,ada,,,,urgent,,,,,,tokens,1,1,\nteam,ada,,,,urgent,,,,,,tokens,1,1,", 3, "name"),
        (
            "team,ada,,,,urgent,,,,,,tokens,1,1,D\nteam,bob,,,,urgent,,,,,,tokens,1,1,D",
            3,
            "key_digests",
        ),
        ("team,ada,,,,urgent,,,,,,tokens,1,1,D D", 2, "key_digests"),
        ("team,ada,,,,urgent,,,,,,tokens,-1,1,", 2, "per_second"),
        ("team,ada,,,,urgent,,,,,,tokens,1,x,", 2, "burst"),
        ("team,ada,,,,urgent,,,,,,calls,1,1,", 2, "unit"),
        ("team,ada,,,,soon,,,,,,tokens,1,1,", 2, "rank"),
        ("team,,,,,urgent,,,,,,tokens,1,1,", 2, "name"),
        ("team,ada,,5,,urgent,,,,,,tokens,1,1,", 2, "memory_mib"),
        ("model,m,,100,1,urgent,8,800,70,1,yes,tokens,,,", 2, "unit"),
    ];
    for (rows, line, column) in cases {
        let Err(TableError::Cells(errors)) = parse_teams(&rows.replace('D', &digest.to_string()))
        else {
            panic!("{rows:?} is accepted");
        };
        assert_eq!((errors[0].line, &*errors[0].column), (line, column), "{rows:?}: {errors:?}");
        assert_eq!(errors.len(), 1, "{rows:?}: {errors:?}");
    }
    // Two operators may give the same key to two teams, which a merge brings together.
    let team = |name: &str| {
        parse_teams(&format!("team,{name},,,,urgent,,,,,,tokens,1,1,{digest}")).unwrap().remove(0)
    };
    let merged = merge_rows(&[], &[team("ada")], &[team("bob")]).unwrap();
    assert_matches!(check_key_digests(&merged), Err(TableError::Cells(errors))
        if errors[0].line == 3 && errors[0].column == "key_digests");
    let keys = TeamKeys::new(&merged);
    assert!(keys.has_teams() && keys.team_of("k1").is_none());
}

/// Guards against a key in the place of its digest that an error message prints.
#[test]
fn a_key_in_the_table_is_refused_and_not_shown() {
    let err = parse_teams("team,ada,,,,urgent,,,,,,tokens,1,1,s3cret").unwrap_err();
    let shown = format!("{err} {err:?}");
    assert!(shown.contains("key_digests") && !shown.contains("s3cret"), "{shown}");
    for text in ["", "zz", &"g".repeat(64), &"é".repeat(32), &"a".repeat(65)] {
        assert!(format!("sha256:{text}").parse::<KeyDigest>().is_err(), "{text:?}");
    }
    // A key of hexadecimal digits does not pass for a digest.
    assert!("a".repeat(64).parse::<KeyDigest>().is_err());
    // The digest of the empty text, from the standard's examples.
    let empty = "sha256:e3b0c44298fc1c149afbf4c8996fb92427ae41e4649b934ca495991b7852b855";
    assert_eq!(KeyDigest::of("").to_string(), empty);
    assert_eq!(empty.parse(), Ok(KeyDigest::of("")));
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
            team: None,
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
