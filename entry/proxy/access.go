package proxy

import (
	"context"
	"net/http"
	"strings"

	"github.com/juju/errors"
	"go.uber.org/zap"

	"ebonyrouter.dev/core"
	"ebonyrouter.dev/core/codes"
	"ebonyrouter.dev/core/event"
	"ebonyrouter.dev/entry/access"
)

// headerAuthorization carries the API key of a caller where the settings require keys.
const headerAuthorization = "Authorization"

// authorize finds the customer of a request by its key and sets the request's rank and home regions. A relayed request has the
// customer and the home regions that the process that received it has found.
func (p *Proxy) authorize(req *request, snapshot *core.Snapshot) *failure {
	header := req.incoming.Header
	var err error
	if req.relayed() {
		var homes []string
		if list := header.Get(core.HeaderHomeRegions); list != "" {
			homes = strings.Split(list, ",")
		}
		req.access, err = access.OfRelayed(snapshot, homes, header.Get(core.HeaderTenant))
	} else {
		req.access, err = access.Of(snapshot, req.route, header)
	}
	if req.access.KeysRequired && !req.relayed() {
		req.tenant = req.access.Name()
	}
	if err == nil {
		return nil
	}
	p.logRefusal(event.RequestKeyRefused, req, err)
	return rejectionFailure(err)
}

// admitCustomer waits until the settings that accepted the key are proven to be recent and counts the request against the quota of
// its customer. If newer settings come into force during the wait, the key is looked up in those.
func (p *Proxy) admitCustomer(ctx context.Context, req *request) *failure {
	if !req.access.Keyed() {
		return nil
	}
	if p.Freshness != nil {
		ctx, cancel := context.WithTimeout(ctx, req.deadline.Sub(p.Timer.Now()))
		defer cancel()
		for {
			revision, err := p.checkKey(req)
			if err == nil {
				err = p.Freshness.Await(ctx, revision)
			}
			if err == nil {
				break
			}
			if ctx.Err() == nil && isUnproven(err) && p.Settings.Current().Revision() > revision {
				continue
			}
			p.logRefusal(event.RequestUnproven, req, err)
			return rejectionFailure(err)
		}
	}
	if p.Quotas == nil {
		return nil
	}
	if err := p.Quotas.Take(req.access.Customer); err != nil {
		p.logRefusal(event.RequestOverQuota, req, err)
		return rejectionFailure(err)
	}
	return nil
}

// checkAttempt returns a failure if an attempt must not be sent now, because the key was withdrawn or the settings that accept it
// are not proven to be recent. It is called immediately before the first byte of each attempt is written.
func (p *Proxy) checkAttempt(req *request) *failure {
	if !req.access.Keyed() {
		return nil
	}
	revision, err := p.checkKey(req)
	if err == nil && p.Freshness != nil {
		err = p.Freshness.Check(revision)
	}
	if err == nil {
		return nil
	}
	p.logRefusal(event.RequestUnproven, req, err)
	return rejectionFailure(err)
}

// checkKey looks up the request's key again if newer settings than those that accepted it are in force, and returns their revision.
func (p *Proxy) checkKey(req *request) (int64, error) {
	current := p.Settings.Current()
	revision := current.Revision()
	if revision == req.settingsRevision {
		return revision, nil
	}
	return revision, req.access.Check(current)
}

// logRefusal logs why a request with an API key is refused, if LogRequests is set. The key itself is never logged.
func (p *Proxy) logRefusal(info event.Info, req *request, cause error) {
	if !p.LogRequests {
		return
	}
	info.Write(p.Log, zap.String("request_id", req.id), zap.String("customer", req.access.Name()),
		zap.Int64("settings", req.settingsRevision), zap.Int("attempts", req.attempts), zap.Error(cause))
}

// setIdentity replaces the caller's key and customer name in the headers of an attempt by the name that the settings give, if the
// settings require keys. Trailers are not forwarded then, because they may repeat these headers and those of a streamed body are known
// only after its head has been sent.
func (r *request) setIdentity(out *http.Request) {
	if !r.access.KeysRequired {
		return
	}
	out.Header.Del(headerAuthorization)
	out.Header.Del(core.HeaderTenant)
	if r.tenant != "" {
		out.Header.Set(core.HeaderTenant, r.tenant)
	}
	out.Trailer = nil
}

// isUnproven reports whether err rejects a request because its settings are not proven to be recent.
func isUnproven(err error) bool {
	var rejected *core.RejectedError
	return errors.As(err, &rejected) && rejected.Code == codes.SettingsUnproven
}
