// Package configuration stores, validates and applies revisions of the
// configuration.
//
// A configuration is a set of documents. One head row holds the newest revision
// and its preset in force; every change is one transaction that is conditional on
// the version of that row. Changes are sent to other instances as updates that
// hold only the changed documents.
package configuration
