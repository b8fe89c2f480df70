// Package policy builds the named policies that operators create from documents.
//
// A policy type is one file with one call of register. Its parameters are a struct
// whose fields are decoded strictly over defaults and then validated; errors name the
// path of the field and what it accepts.
package policy
