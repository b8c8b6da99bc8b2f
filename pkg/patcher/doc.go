// Package patcher defines the configuration document and the patches that turn
// one version of it into the next.
package patcher
