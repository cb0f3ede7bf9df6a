//! Tables of aligned text columns.

use std::io;

/// Writes a heading and rows; each column is as wide as its widest cell.
pub(super) fn write<const N: usize>(
    out: &mut impl io::Write,
    heading: [&str; N],
    rows: &[[String; N]],
) -> io::Result<()> {
    let widths: [usize; N] = std::array::from_fn(|column| {
        let cells = rows.iter().map(|row| row[column].chars().count());
        cells.max().unwrap_or(0).max(heading[column].len())
    });
    write_line(out, &heading, &widths)?;
    for row in rows {
        write_line(out, row, &widths)?;
    }
    Ok(())
}

fn write_line<S: AsRef<str>, const N: usize>(
    out: &mut impl io::Write,
    cells: &[S; N],
    widths: &[usize; N],
) -> io::Result<()> {
    let padded = cells
        .iter()
        .zip(widths)
        .map(|(cell, width)| format!("{:width$}", cell.as_ref()));
    let text = padded.collect::<Vec<_>>().join("  ");
    writeln!(out, "{}", text.trim_end())
}
