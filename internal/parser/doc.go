// Package parser reads settings and patch files.
package parser
