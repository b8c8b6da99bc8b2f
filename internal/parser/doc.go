// Package parser reads the INI settings of an entry and INI patch files, and
// reports all problems of a file at once.
package parser
