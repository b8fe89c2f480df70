package commands

import (
	"fmt"
	"os"
	"runtime/debug"
)

type versionCommand struct{}

func init() {
	register[versionCommand]("version", "Print the version", "Prints the module version and the Go version of the build.")
}

// Execute prints the versions.
func (*versionCommand) Execute([]string) error {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return failure{fmt.Errorf("the binary contains no build information")}
	}
	fmt.Fprintf(os.Stdout, "gorseline %s %s\n", info.Main.Version, info.GoVersion)
	return nil
}
