// Package director chooses the entries that are advertised to callers.
package director
