package commands

import "context"

type configShowCommand struct{ operatorSettings }

func init() {
	registerTerminal[configShowCommand]("config show", "Show the configuration in force",
		"Prints the configuration in force as the JSON document that config apply accepts.")
}

// Execute prints the document.
func (c *configShowCommand) Execute([]string) error {
	return c.call(func(_ context.Context, sess session) error { return c.printJSON(sess.configuration) })
}
