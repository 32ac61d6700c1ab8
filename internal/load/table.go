package load

import (
	"fmt"
	"io"
	"strconv"
	"strings"
)

// Table is a table of text. The first column holds names, the others numbers.
type Table struct {
	Head []string
	Rows [][]string
}

// WriteMarkdown writes the table in Markdown.
func (t *Table) WriteMarkdown(w io.Writer) error {
	var b strings.Builder
	writeRow(&b, t.Head)
	rule := []string{"---"}
	for range t.Head[1:] {
		rule = append(rule, "---:")
	}
	writeRow(&b, rule)
	for _, r := range t.Rows {
		writeRow(&b, r)
	}
	_, err := io.WriteString(w, b.String())
	return Error.Wrap(err)
}

func writeRow(b *strings.Builder, cells []string) {
	for _, c := range cells {
		b.WriteString("| " + strings.ReplaceAll(c, "|", `\|`) + " ")
	}
	b.WriteString("|\n")
}

// Table returns the comparison as a table: each value with its ratio to that of
// the first result.
func (c *Comparison) Table() *Table {
	t := &Table{Head: append([]string{"figure"}, c.Names...)}
	for _, r := range c.Rows {
		t.Rows = append(t.Rows, r.texts())
	}
	return t
}

// WriteMarkdown writes the comparison as a Markdown table with its warnings.
func (c *Comparison) WriteMarkdown(w io.Writer) error {
	if err := c.Table().WriteMarkdown(w); err != nil {
		return err
	}
	for _, warning := range c.Warnings {
		if _, err := fmt.Fprintf(w, "\nWarning: %s.\n", warning); err != nil {
			return Error.Wrap(err)
		}
	}
	return nil
}

func (r *Row) texts() []string {
	name := r.Name
	if r.Unit != "" {
		name += ", " + r.Unit
	}
	texts := []string{name}
	for i, c := range r.Cells {
		text := c.text()
		if i > 0 && c.Ratio != 0 {
			text += " (×" + strconv.FormatFloat(c.Ratio, 'f', 2, 64) + ")"
		}
		texts = append(texts, text)
	}
	return texts
}

func (c Cell) text() string {
	if !c.Known {
		return "–"
	}
	return formatValue(c.Value)
}

// formatValue formats a value with three digits or more, and integers in full.
func formatValue(v float64) string {
	switch {
	case v == float64(int64(v)) || v >= 1000 || v <= -1000:
		return strconv.FormatFloat(v, 'f', 0, 64)
	case v >= 10:
		return strconv.FormatFloat(v, 'f', 1, 64)
	default:
		return strconv.FormatFloat(v, 'g', 3, 64)
	}
}
