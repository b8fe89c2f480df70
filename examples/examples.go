// Package examples holds ready configurations and sample requests of the two
// deployments.
package examples

import "embed"

// Files holds NAME/configuration.json and NAME/requests.json of each deployment.
//
//go:embed */*.json
var Files embed.FS
