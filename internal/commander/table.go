package commander

import (
	"fmt"
	"io"
)

// row writes one line of a table, with tabs between the cells.
func row(w io.Writer, cells ...any) {
	for i, c := range cells {
		if i > 0 {
			_, _ = fmt.Fprint(w, "\t")
		}
		_, _ = fmt.Fprint(w, c)
	}
	_, _ = fmt.Fprintln(w)
}
