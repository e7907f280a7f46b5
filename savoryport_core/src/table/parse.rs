//! Reading and writing the table's CSV file.

use std::collections::HashMap;
use std::str::FromStr;
use std::sync::Arc;

use csv::StringRecord;

use super::{CellError, Row, RowKind, TableError};
use crate::Name;
use crate::rank::Rank;

/// The columns of the file, in the order in which they are written.
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

/// Reads a table from CSV bytes; a byte order mark, CRLF and quoted commas are accepted.
///
/// # Errors
///
/// Returns every wrong cell with line, column and value, or the reason why this is no table.
pub fn parse_csv(buf: &[u8]) -> Result<Vec<Row>, TableError> {
    let buf = buf.strip_prefix(b"\xef\xbb\xbf").unwrap_or(buf);
    let mut reader = csv::ReaderBuilder::new().trim(csv::Trim::All).from_reader(buf);
    let header = reader.headers().map_err(not_csv)?.clone();
    let columns = locate_columns(&header)?;
    let mut rows = Vec::new();
    let mut errors = Vec::new();
    for record in reader.records() {
        let record = record.map_err(not_csv)?;
        let line = record.position().map_or(0, |at| at.line() as usize);
        let mut cells = Cells { record: &record, columns: &columns, line, errors: &mut errors };
        let row = cells.row();
        rows.push((line, row));
    }
    check_names(&rows, &mut errors);
    if !errors.is_empty() {
        return Err(TableError::Cells(errors));
    }
    Ok(rows.into_iter().map(|(_, row)| row).collect())
}

/// Writes the rows as CSV, in the form that [`parse_csv`] reads.
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

fn not_csv(err: csv::Error) -> TableError {
    let line = err.position().map_or(0, csv::Position::line);
    TableError::NotCsv { line, problem: err.to_string() }
}

fn locate_columns(header: &StringRecord) -> Result<HashMap<&'static str, usize>, TableError> {
    let mut columns = HashMap::new();
    let mut missing = Vec::new();
    for column in COLUMNS {
        match header.iter().position(|field| field == column) {
            Some(at) => drop(columns.insert(column, at)),
            None => missing.push(column),
        }
    }
    if missing.is_empty() {
        Ok(columns)
    } else {
        Err(TableError::MissingColumns(missing.join(", ")))
    }
}

/// Reads the cells of one record and gathers what is wrong with them.
struct Cells<'a> {
    record: &'a StringRecord,
    columns: &'a HashMap<&'static str, usize>,
    line: usize,
    errors: &'a mut Vec<CellError>,
}

impl Cells<'_> {
    fn row(&mut self) -> Row {
        let kind = self.kind();
        let is_service = kind == RowKind::Service;
        let row = Row {
            kind,
            name: self.name(),
            base: self.base(kind),
            memory_mib: self.number("memory_mib", u32::from(!is_service)),
            weight: self.number("weight", 1),
            rank: self.parse("rank", Rank::Batch),
            max_in_flight: self.number("max_in_flight", 1),
            first_token_ms: self.number("first_token_ms", 1),
            between_tokens_ms: self.number("between_tokens_ms", 0),
            min_copies: self.number("min_copies", u32::from(!is_service)),
            repeatable: self.yes_or_no("repeatable"),
        };
        if !is_service && !row.repeatable {
            self.fail("repeatable", "only a service may be non-repeatable");
        }
        row
    }

    fn text(&self, column: &str) -> &str {
        self.record.get(self.columns[column]).unwrap_or_default()
    }

    fn fail(&mut self, column: &str, problem: &str) {
        let value = self.text(column).chars().take(80).collect();
        let (line, problem) = (self.line, problem.to_owned());
        self.errors.push(CellError { line, column: column.to_owned(), value, problem });
    }

    fn kind(&mut self) -> RowKind {
        match self.text("kind") {
            "model" => RowKind::Model,
            "adapter" => RowKind::Adapter,
            "service" => RowKind::Service,
            _ => {
                self.fail("kind", "use model, adapter or service");
                RowKind::Model
            }
        }
    }

    fn name(&mut self) -> Name {
        let name = Arc::from(self.text("name"));
        if !is_valid_name(&name) {
            self.fail("name", "use 1 to 100 letters, digits, '.', '-' or '_'");
        }
        name
    }

    fn base(&mut self, kind: RowKind) -> Option<Name> {
        let base: Name = Arc::from(self.text("base"));
        match (kind, base.is_empty()) {
            (RowKind::Adapter, true) => self.fail("base", "an adapter needs a base"),
            (RowKind::Model | RowKind::Service, false) => {
                self.fail("base", "only an adapter has a base")
            }
            _ => {}
        }
        (!base.is_empty()).then_some(base)
    }

    fn number(&mut self, column: &str, least: u32) -> u32 {
        match self.text(column).parse::<u32>() {
            Ok(number) if number >= least => number,
            _ => {
                self.fail(column, &format!("use a whole number of at least {least}"));
                least
            }
        }
    }

    fn parse<T: FromStr<Err: ToString>>(&mut self, column: &str, fallback: T) -> T {
        match self.text(column).parse() {
            Ok(value) => value,
            Err(err) => {
                self.fail(column, &T::Err::to_string(&err));
                fallback
            }
        }
    }

    fn yes_or_no(&mut self, column: &str) -> bool {
        match self.text(column) {
            "yes" => true,
            "no" => false,
            _ => {
                self.fail(column, "use yes or no");
                true
            }
        }
    }
}

fn is_valid_name(name: &str) -> bool {
    let valid = |c: char| c.is_ascii_alphanumeric() || matches!(c, '.' | '-' | '_');
    (1..=100).contains(&name.len()) && name.chars().all(valid)
}

fn check_names(rows: &[(usize, Row)], errors: &mut Vec<CellError>) {
    let mut first: HashMap<&str, (usize, RowKind)> = HashMap::new();
    for (line, row) in rows {
        if let Some((earlier, _)) = first.get(&*row.name) {
            let problem = format!("the name stands in line {earlier} already");
            errors.push(cell_error(*line, "name", &row.name, problem));
        } else {
            first.insert(&row.name, (*line, row.kind));
        }
    }
    for (line, row) in rows {
        let Some(base) = row.base.as_deref() else { continue };
        if !matches!(first.get(base), Some((_, RowKind::Model))) {
            let problem = "no model of that name is in the table".to_owned();
            errors.push(cell_error(*line, "base", base, problem));
        }
    }
}

fn cell_error(line: usize, column: &str, value: &str, problem: String) -> CellError {
    CellError { line, column: column.to_owned(), value: value.to_owned(), problem }
}
