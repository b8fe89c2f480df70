// Package commands implements the commands of the gorseline binary, one per file.
package commands
