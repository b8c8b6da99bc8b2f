package commander

import (
	"fmt"
	"io"
)

// writeRow writes one row of a table, with tabs between the cells.
func writeRow(w io.Writer, cells ...any) {
	for i, c := range cells {
		if i > 0 {
			_, _ = fmt.Fprint(w, "\t")
		}
		_, _ = fmt.Fprint(w, c)
	}
	_, _ = fmt.Fprintln(w)
}
