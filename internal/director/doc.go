// Package director chooses the entries that callers are told to use.
package director
