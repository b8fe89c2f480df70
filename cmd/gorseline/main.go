// Command gorseline runs the serving system and its operators' commands.
package main

import (
	"os"

	"gorseline/cmd/commands"
)

func main() {
	os.Exit(commands.Main(os.Args[1:]))
}
