//! Parsing and writing of the table's CSV file.

use std::collections::HashMap;
use std::str::FromStr;
use std::sync::Arc;

use csv::StringRecord;

use super::{CellError, Row, RowKind, TableError};
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
    if !errors.is_empty() {
        return Err(TableError::Cells(errors));
    }
    Ok(rows.into_iter().map(|(_, row)| row).collect())
}

/// Formats the rows as CSV that [`parse_csv`] can read.
pub fn to_csv(rows: &[Row]) -> String {
    let mut writer = csv::Writer::from_writer(Vec::new());
    writer.write_record(COLUMNS).expect("writing to memory does not fail");
    for row in rows {
        let fields = [
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
        writer.write_record(fields).expect("writing to memory does not fail");
    }
    let buf = writer.into_inner().expect("writing to memory does not fail");
    String::from_utf8(buf).expect("every field is UTF-8")
}

fn kind_name(kind: RowKind) -> &'static str {
    match kind {
        RowKind::Model => "model",
        RowKind::Adapter => "adapter",
        RowKind::Service => "service",
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
        };
        if !is_service && !row.repeatable {
            self.add_error("repeatable", "only a service may be non-repeatable");
        }
        row
    }

    fn cell(&self, column: &str) -> &str {
        self.record.get(self.columns[column]).unwrap_or_default()
    }

    fn add_error(&mut self, column: &str, problem: &str) {
        let value = self.cell(column).chars().take(80).collect();
        let (line, problem) = (self.line, problem.to_owned());
        self.errors.push(CellError { line, column: column.to_owned(), value, problem });
    }

    fn parse_kind(&mut self) -> RowKind {
        match self.cell("kind") {
            "model" => RowKind::Model,
            "adapter" => RowKind::Adapter,
            "service" => RowKind::Service,
            _ => {
                self.add_error("kind", "use model, adapter or service");
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
            (RowKind::Model | RowKind::Service, false) => {
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

fn cell_error(line: usize, column: &str, value: &str, problem: String) -> CellError {
    CellError { line, column: column.to_owned(), value: value.to_owned(), problem }
}
