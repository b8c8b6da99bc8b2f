// Package parser parses the INI settings files of entries and INI patch files,
// and reports all problems of a file at once.
package parser
