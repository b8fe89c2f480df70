package commands

import (
	"encoding/json"
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/jessevdk/go-flags"
	"github.com/sebdah/goldie/v2"

	"gorseline/cmd/entry/node"
	"gorseline/core"
	"gorseline/core/configuration"
	"gorseline/core/policy"
)

// Guards against a page of settings that is out of date. It is regenerated with
// go test ./cmd/commands -run TestSettingsPage -update.
func TestSettingsPage(t *testing.T) {
	var b strings.Builder
	b.WriteString("# Settings and configuration\n\nGenerated from the code by `go test ./cmd/commands -run TestSettingsPage -update`.\n")
	settingsPage(&b)
	entryPage(&b)
	configurationPage(t, &b)
	policyPage(t, &b)
	goldie.New(t, goldie.WithFixtureDir("../../docs"), goldie.WithNameSuffix(".md")).Assert(t, "SETTINGS", []byte(b.String()))
}

// entryPage lists the settings of cmd/entry.
func entryPage(b *strings.Builder) {
	var options node.Options
	var rows []string
	for _, group := range flags.NewParser(&options, flags.None).Groups() {
		for _, o := range group.Options() {
			rows = append(rows, optionRow(o))
		}
	}
	slices.Sort(rows)
	fmt.Fprintf(b, "\n### The program entry\n\nRuns one instance on the operators' platform.\n\n"+
		"| setting | variable | default | meaning |\n| --- | --- | --- | --- |\n%s\n", strings.Join(rows, "\n"))
}

// settingsPage lists the flags and environment variables of all commands.
func settingsPage(b *strings.Builder) {
	b.WriteString("\n## Settings\n\nA setting is a flag or an environment variable; the flag wins. A list is a repeated flag, or a variable with commas.\n")
	var visit func(prefix string, c *flags.Command)
	visit = func(prefix string, c *flags.Command) {
		name := strings.TrimSpace(prefix + " " + c.Name)
		var rows []string
		for _, group := range append([]*flags.Group{c.Group}, c.Groups()...) {
			for _, o := range group.Options() {
				rows = append(rows, optionRow(o))
			}
		}
		for _, a := range c.Args() {
			rows = append(rows, fmt.Sprintf("| `%s` | | | %s |", a.Name, a.Description))
		}
		if len(rows) > 0 {
			slices.Sort(rows)
			fmt.Fprintf(b, "\n### %s\n\n%s.\n\n| setting | variable | default | meaning |\n| --- | --- | --- | --- |\n%s\n",
				name, c.ShortDescription, strings.Join(slices.Compact(rows), "\n"))
		}
		for _, sub := range c.Commands() {
			visit(name, sub)
		}
	}
	for _, c := range newParser(terminal{}).Commands() {
		visit("", c)
	}
}

func optionRow(o *flags.Option) string {
	meaning := o.Description
	if len(o.Choices) > 0 {
		meaning += "; one of " + strings.Join(o.Choices, ", ")
	}
	defaultValue := strings.Join(o.Default, ", ")
	if o.Required {
		defaultValue = "required"
	}
	variable := ""
	if o.EnvKeyWithNamespace() != "" {
		variable = "`" + o.EnvKeyWithNamespace() + "`"
	}
	return fmt.Sprintf("| `--%s` | %s | %s | %s |", o.LongNameWithNamespace(), variable, defaultValue, meaning)
}

// configurationPage lists the fields of the configuration documents with their doc comments.
func configurationPage(t *testing.T, b *strings.Builder) {
	t.Helper()
	comments := fieldComments(t, "../../core")
	b.WriteString("\n## Configuration\n\nA configuration is one JSON document, see `config show`. Durations are texts such as `1m30s`, or nanoseconds.\n")
	for _, document := range []any{
		core.Configuration{},
		configuration.DefaultPreset(),
		core.PolicyShare{},
		core.PolicyDocument{},
		configuration.DefaultKind(),
		core.Target{},
		core.OrganisationDocument{},
	} {
		value := reflect.ValueOf(document)
		name := value.Type().Name()
		fmt.Fprintf(b, "\n### %s\n\n%s\n\n| field | type | default | meaning |\n| --- | --- | --- | --- |\n", name, comments[name])
		for i := range value.NumField() {
			field := value.Type().Field(i)
			fmt.Fprintf(b, "| `%s` | %s | %s | %s |\n", field.Name, typeText(field.Type), defaultText(value.Field(i)), comments[name+"."+field.Name])
		}
	}
}

func typeText(t reflect.Type) string {
	switch {
	case t == reflect.TypeFor[time.Duration]():
		return "duration"
	case t == reflect.TypeFor[json.RawMessage]():
		return "object"
	case t == reflect.TypeFor[core.Role]():
		return "role"
	}
	switch t.Kind() {
	case reflect.Map:
		return "object of " + typeText(t.Elem())
	case reflect.Slice:
		return "list of " + typeText(t.Elem())
	case reflect.Struct:
		return t.Name()
	case reflect.String:
		return "text"
	case reflect.Float64:
		return "number"
	case reflect.Bool:
		return "true or false"
	default:
		return "integer"
	}
}

func defaultText(v reflect.Value) string {
	if v.IsZero() {
		return ""
	}
	return fmt.Sprint(v.Interface())
}

// fieldComments returns the doc comments of the types and fields of a package, with the keys
// "Type" and "Type.Field".
func fieldComments(t *testing.T, directory string) map[string]string {
	t.Helper()
	packages, err := parser.ParseDir(token.NewFileSet(), directory, nil, parser.ParseComments) //nolint:staticcheck // type information isn't needed
	if err != nil {
		t.Fatal(err)
	}
	comments := map[string]string{}
	for _, file := range packages["core"].Files {
		for _, declaration := range file.Decls {
			general, ok := declaration.(*ast.GenDecl)
			if !ok {
				continue
			}
			for _, spec := range general.Specs {
				typed, ok := spec.(*ast.TypeSpec)
				if !ok {
					continue
				}
				comments[typed.Name.Name] = oneLine(general.Doc)
				if body, ok := typed.Type.(*ast.StructType); ok {
					for _, field := range body.Fields.List {
						for _, name := range field.Names {
							comments[typed.Name.Name+"."+name.Name] = oneLine(field.Doc)
						}
					}
				}
			}
		}
	}
	return comments
}

func oneLine(c *ast.CommentGroup) string { return strings.Join(strings.Fields(c.Text()), " ") }

// policyPage lists the policy types with the defaults of their parameters.
func policyPage(t *testing.T, b *strings.Builder) {
	t.Helper()
	b.WriteString("\n## Policy types\n\nThe parameters of a policy and their defaults. A wrong value is refused with its path and what is accepted.\n")
	for _, name := range policy.Types() {
		defaults, err := policy.Defaults(name)
		if err != nil {
			t.Fatal(err)
		}
		var fields map[string]json.RawMessage
		if err := json.Unmarshal(defaults, &fields); err != nil {
			t.Fatal(err)
		}
		fmt.Fprintf(b, "\n### %s\n\n| parameter | default |\n| --- | --- |\n", name)
		for _, field := range sortedKeys(fields) {
			fmt.Fprintf(b, "| `%s` | `%s` |\n", field, fields[field])
		}
	}
}
