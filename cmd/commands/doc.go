// Package commands holds the commands of the gorseline binary, a file each.
package commands
