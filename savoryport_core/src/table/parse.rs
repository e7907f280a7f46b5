//! Parsing and writing of the table's CSV file.

use std::collections::HashMap;
use std::str::FromStr;
use std::sync::Arc;

use csv::StringRecord;

use super::{CellError, KeyDigest, Row, RowKind, TableError, TeamColumns, TeamUnit};
use crate::Name;
use crate::rank::Rank;

/// The columns of the file, in the order in which [`to_csv`] writes them.
pub const COLUMNS: [&str; 11] = [
    "kind",
    "name",
    "base",
    "memory_mib",
    "weight",
    "rank",
    "max_in_flight",
    "first_token_ms",
    "between_tokens_ms",
    "min_copies",
    "repeatable",
];

/// The columns that only teams have. A file without teams may leave them out, and [`to_csv`] does.
pub const TEAM_COLUMNS: [&str; 4] = ["unit", "per_second", "burst", "key_digests"];

/// The columns that a team leaves empty.
const ITEM_COLUMNS: [&str; 8] = [
    "base",
    "memory_mib",
    "weight",
    "max_in_flight",
    "first_token_ms",
    "between_tokens_ms",
    "min_copies",
    "repeatable",
];

/// Parses the rows of a table from CSV; a byte order mark, CRLF and quoted commas are accepted.
///
/// # Errors
///
/// Returns all invalid cells with their line, column and value, or the reason why the file as a
/// whole cannot be read.
pub fn parse_csv(buf: &[u8]) -> Result<Vec<Row>, TableError> {
    let buf = buf.strip_prefix(b"\xef\xbb\xbf").unwrap_or(buf);
    let mut reader = csv::ReaderBuilder::new().trim(csv::Trim::All).from_reader(buf);
    let header = reader.headers().map_err(csv_error)?.clone();
    let columns = locate_columns(&header)?;
    let mut rows = Vec::new();
    let mut errors = Vec::new();
    for record in reader.records() {
        let record = record.map_err(csv_error)?;
        let line = record.position().map_or(0, |position| position.line() as usize);
        let mut parser =
            RowParser { record: &record, columns: &columns, line, errors: &mut errors };
        let row = parser.parse_row();
        rows.push((line, row));
    }
    check_names(&rows, &mut errors);
    check_digests(rows.iter().map(|(line, row)| (*line, row)), &mut errors);
    if !errors.is_empty() {
        return Err(TableError::Cells(errors));
    }
    Ok(rows.into_iter().map(|(_, row)| row).collect())
}

/// Formats the rows as CSV that [`parse_csv`] can read.
pub fn to_csv(rows: &[Row]) -> String {
    let mut writer = csv::Writer::from_writer(Vec::new());
    let has_teams = rows.iter().any(|row| row.kind == RowKind::Team);
    let team_columns = TEAM_COLUMNS.into_iter().filter(|_| has_teams);
    let header = COLUMNS.into_iter().chain(team_columns);
    writer.write_record(header).expect("writing to memory does not fail");
    for row in rows {
        let mut fields = vec![
            kind_name(row.kind).to_owned(),
            row.name.to_string(),
            row.base.as_deref().unwrap_or_default().to_owned(),
            row.memory_mib.to_string(),
            row.weight.to_string(),
            row.rank.to_string(),
            row.max_in_flight.to_string(),
            row.first_token_ms.to_string(),
            row.between_tokens_ms.to_string(),
            row.min_copies.to_string(),
            if row.repeatable { "yes" } else { "no" }.to_owned(),
        ];
        if row.kind == RowKind::Team {
            for (field, column) in fields.iter_mut().zip(COLUMNS) {
                if ITEM_COLUMNS.contains(&column) {
                    field.clear();
                }
            }
        }
        if has_teams {
            fields.extend(team_fields(row));
        }
        writer.write_record(fields).expect("writing to memory does not fail");
    }
    let buf = writer.into_inner().expect("writing to memory does not fail");
    String::from_utf8(buf).expect("every field is UTF-8")
}

fn team_fields(row: &Row) -> [String; 4] {
    let Some(team) = &row.team else { return Default::default() };
    let unit = match team.unit {
        TeamUnit::Requests => "requests",
        TeamUnit::Tokens => "tokens",
    };
    let digests: Vec<String> = team.key_digests.iter().map(ToString::to_string).collect();
    [unit.to_owned(), team.per_second.to_string(), team.burst.to_string(), digests.join(" ")]
}

fn kind_name(kind: RowKind) -> &'static str {
    match kind {
        RowKind::Model => "model",
        RowKind::Adapter => "adapter",
        RowKind::Service => "service",
        RowKind::Team => "team",
    }
}

fn csv_error(err: csv::Error) -> TableError {
    let line = err.position().map_or(0, csv::Position::line);
    TableError::NotCsv { line, problem: err.to_string() }
}

fn locate_columns(header: &StringRecord) -> Result<HashMap<&'static str, usize>, TableError> {
    let mut columns = HashMap::new();
    let mut missing = Vec::new();
    for column in COLUMNS {
        match header.iter().position(|field| field == column) {
            Some(index) => drop(columns.insert(column, index)),
            None => missing.push(column),
        }
    }
    for column in TEAM_COLUMNS {
        if let Some(index) = header.iter().position(|field| field == column) {
            columns.insert(column, index);
        }
    }
    if missing.is_empty() {
        Ok(columns)
    } else {
        Err(TableError::MissingColumns(missing.join(", ")))
    }
}

/// Parses the cells of one record and collects the errors in them.
struct RowParser<'a> {
    record: &'a StringRecord,
    columns: &'a HashMap<&'static str, usize>,
    line: usize,
    errors: &'a mut Vec<CellError>,
}

impl RowParser<'_> {
    fn parse_row(&mut self) -> Row {
        let kind = self.parse_kind();
        if kind == RowKind::Team {
            return self.parse_team();
        }
        for column in TEAM_COLUMNS {
            if !self.cell(column).is_empty() {
                self.add_error(column, "only a team has one");
            }
        }
        let is_service = kind == RowKind::Service;
        let row = Row {
            kind,
            name: self.parse_name(),
            base: self.parse_base(kind),
            memory_mib: self.parse_number("memory_mib", u32::from(!is_service)),
            weight: self.parse_number("weight", 1),
            rank: self.parse_or("rank", Rank::Batch),
            max_in_flight: self.parse_number("max_in_flight", 1),
            first_token_ms: self.parse_number("first_token_ms", 1),
            between_tokens_ms: self.parse_number("between_tokens_ms", 0),
            min_copies: self.parse_number("min_copies", u32::from(!is_service)),
            repeatable: self.parse_bool("repeatable"),
            team: None,
        };
        if !is_service && !row.repeatable {
            self.add_error("repeatable", "only a service may be non-repeatable");
        }
        row
    }

    fn parse_team(&mut self) -> Row {
        for column in ITEM_COLUMNS {
            if !self.cell(column).is_empty() {
                self.add_error(column, "a team has none");
            }
        }
        let unit = match self.cell("unit") {
            "requests" => TeamUnit::Requests,
            "tokens" => TeamUnit::Tokens,
            _ => {
                self.add_error("unit", "use requests or tokens");
                TeamUnit::Requests
            }
        };
        let digests = self.cell("key_digests").split_ascii_whitespace().map(str::parse);
        let key_digests = digests.collect::<Result<Vec<KeyDigest>, _>>().unwrap_or_else(|err| {
            self.add_error("key_digests", &err.to_string());
            Vec::new()
        });
        Row {
            kind: RowKind::Team,
            name: self.parse_name(),
            base: None,
            memory_mib: 0,
            weight: 0,
            rank: self.parse_or("rank", Rank::Batch),
            max_in_flight: 0,
            first_token_ms: 0,
            between_tokens_ms: 0,
            min_copies: 0,
            repeatable: false,
            team: Some(TeamColumns {
                unit,
                per_second: self.parse_number("per_second", 0),
                burst: self.parse_number("burst", 0),
                key_digests,
            }),
        }
    }

    fn cell(&self, column: &str) -> &str {
        let field = self.columns.get(column).and_then(|index| self.record.get(*index));
        field.unwrap_or_default()
    }

    fn add_error(&mut self, column: &str, problem: &str) {
        // An operator may have put a key where its digest belongs.
        let is_secret = column == "key_digests";
        let cell = if is_secret { "not shown" } else { self.cell(column) };
        let value = cell.chars().take(80).collect();
        let (line, problem) = (self.line, problem.to_owned());
        self.errors.push(CellError { line, column: column.to_owned(), value, problem });
    }

    fn parse_kind(&mut self) -> RowKind {
        match self.cell("kind") {
            "model" => RowKind::Model,
            "adapter" => RowKind::Adapter,
            "service" => RowKind::Service,
            "team" => RowKind::Team,
            _ => {
                self.add_error("kind", "use model, adapter, service or team");
                RowKind::Model
            }
        }
    }

    fn parse_name(&mut self) -> Name {
        let name = Arc::from(self.cell("name"));
        if !is_valid_name(&name) {
            self.add_error("name", "use 1 to 100 letters, digits, '.', '-' or '_'");
        }
        name
    }

    fn parse_base(&mut self, kind: RowKind) -> Option<Name> {
        let base: Name = Arc::from(self.cell("base"));
        match (kind, base.is_empty()) {
            (RowKind::Adapter, true) => self.add_error("base", "an adapter needs a base model"),
            (RowKind::Model | RowKind::Service | RowKind::Team, false) => {
                self.add_error("base", "only an adapter may have a base model")
            }
            _ => {}
        }
        (!base.is_empty()).then_some(base)
    }

    fn parse_number(&mut self, column: &str, min: u32) -> u32 {
        match self.cell(column).parse::<u32>() {
            Ok(number) if number >= min => number,
            _ => {
                self.add_error(column, &format!("use a whole number of at least {min}"));
                min
            }
        }
    }

    fn parse_or<T: FromStr<Err: ToString>>(&mut self, column: &str, fallback: T) -> T {
        match self.cell(column).parse() {
            Ok(value) => value,
            Err(err) => {
                self.add_error(column, &T::Err::to_string(&err));
                fallback
            }
        }
    }

    fn parse_bool(&mut self, column: &str) -> bool {
        match self.cell(column) {
            "yes" => true,
            "no" => false,
            _ => {
                self.add_error(column, "use yes or no");
                true
            }
        }
    }
}

fn is_valid_name(name: &str) -> bool {
    let is_valid_char = |c: char| c.is_ascii_alphanumeric() || matches!(c, '.' | '-' | '_');
    (1..=100).contains(&name.len()) && name.chars().all(is_valid_char)
}

fn check_names(rows: &[(usize, Row)], errors: &mut Vec<CellError>) {
    let mut first_uses: HashMap<&str, (usize, RowKind)> = HashMap::new();
    for (line, row) in rows {
        if let Some((first_line, _)) = first_uses.get(&*row.name) {
            let problem = format!("the name is already used in line {first_line}");
            errors.push(cell_error(*line, "name", &row.name, problem));
        } else {
            first_uses.insert(&row.name, (*line, row.kind));
        }
    }
    for (line, row) in rows {
        let Some(base) = row.base.as_deref() else { continue };
        if !matches!(first_uses.get(base), Some((_, RowKind::Model))) {
            let problem = "the table has no model with this name".to_owned();
            errors.push(cell_error(*line, "base", base, problem));
        }
    }
}

/// Checks that no key is listed twice, as it may be after a merge.
///
/// # Errors
///
/// Returns an error for each further use of a key, with its line in a file with these rows.
pub fn check_key_digests(rows: &[Row]) -> Result<(), TableError> {
    let mut errors = Vec::new();
    check_digests(rows.iter().enumerate().map(|(index, row)| (index + 2, row)), &mut errors);
    if errors.is_empty() { Ok(()) } else { Err(TableError::Cells(errors)) }
}

fn check_digests<'a>(rows: impl Iterator<Item = (usize, &'a Row)>, errors: &mut Vec<CellError>) {
    let mut first_uses: HashMap<KeyDigest, usize> = HashMap::new();
    for (line, row) in rows {
        for digest in row.team.iter().flat_map(|team| &team.key_digests) {
            if let Some(first_line) = first_uses.get(digest) {
                let problem = format!("the key is already used in line {first_line}");
                errors.push(cell_error(line, "key_digests", &digest.to_string(), problem));
            } else {
                first_uses.insert(*digest, line);
            }
        }
    }
}

fn cell_error(line: usize, column: &str, value: &str, problem: String) -> CellError {
    CellError { line, column: column.to_owned(), value: value.to_owned(), problem }
}
