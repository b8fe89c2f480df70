// Package configuration stores, validates and applies revisions of the
// configuration.
//
// A configuration is a set of documents. One head row holds the revision and the
// preset in force; every change is one transaction that is conditional on that
// row. Changes travel as updates that hold only the changed documents.
package configuration
