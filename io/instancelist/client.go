// Package instancelist reads the platform's list of instances over HTTP.
package instancelist

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/pkg/errors"

	"gorseline/core"
	"gorseline/io/target"
)

// Path is the path of the list. GET returns a JSON array of core.ListedInstance.
const Path = "/instances"

// maxBody bounds the response body, in bytes. 680 instances take about 80 KB.
const maxBody = 4 << 20

// ClientOptions are the settings of a Client.
type ClientOptions struct {
	// URL is the base URL of the platform's service.
	URL string
	// HTTP is the HTTP client; the default uses target.Default.
	HTTP *http.Client
}

// Client reads the list.
type Client struct{ options ClientOptions }

var _ core.InstanceLister = (*Client)(nil)

// NewClient returns a client.
func NewClient(o ClientOptions) *Client {
	if o.HTTP == nil {
		o.HTTP = &http.Client{Transport: target.Default}
	}
	return &Client{o}
}

// Instances returns the listed instances. The list is eventually consistent: it lags
// behind the actual state of the fleet. The error is core.ErrUnavailable if the platform
// answers with a status other than 200.
func (c *Client) Instances(ctx context.Context) ([]core.ListedInstance, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, c.options.URL+Path, nil)
	if err != nil {
		return nil, errors.Wrap(err, "instance list")
	}
	response, err := c.options.HTTP.Do(request)
	if err != nil {
		return nil, errors.Wrap(err, "instance list")
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return nil, errors.Wrapf(core.ErrUnavailable, "instance list: status %d", response.StatusCode)
	}
	data, err := target.ReadBody(response.Body, maxBody)
	if err != nil {
		return nil, errors.Wrap(err, "instance list")
	}
	var list []core.ListedInstance
	return list, errors.Wrap(json.Unmarshal(data, &list), "instance list")
}
