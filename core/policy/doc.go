// Package policy builds named policies from the documents that operators write.
//
// Each policy type has its own file, which calls register once. Its parameters are a
// struct of defaults; the fields of the document overwrite them and are then validated.
// Errors name the path of the field and the accepted values.
package policy
