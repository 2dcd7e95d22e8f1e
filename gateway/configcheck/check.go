package configcheck

import (
	"slices"
	"strconv"
	"strings"

	"github.com/burdockspindle/burdockspindle/gateway/site"
)

// Check returns all findings of a configuration, those of its reading first.
func Check(d *Document, known Known) []Finding {
	c := &checker{document: d, known: known, findings: slices.Clone(d.Findings)}
	if d.IsUnreadable {
		return c.findings
	}
	for i := range d.Config.Routes {
		c.checkRoute(&d.Config.Routes[i], &d.Routes[i])
	}
	c.checkShadowing()
	c.checkNames(d.Routes, "stands for the other route as well in what nodes learn of routes")
	c.checkNames(d.Services, "the last definition is used")
	c.checkUnusedServices()
	c.checkRejection()
	return c.findings
}

type checker struct {
	document *Document
	known    Known
	findings []Finding
}

// add adds a finding, unless the value could not be read: what is assumed in its place is no fault of its own.
func (c *checker) add(severity Severity, at Value, code Code, message string) {
	isInvalid := func(f Finding) bool { return f.Path == at.Path && f.Code == InvalidValue }
	if slices.ContainsFunc(c.document.Findings, isInvalid) {
		return
	}
	c.findings = append(c.findings, Finding{Severity: severity, Path: at.Path, Line: at.Line, Code: code, Message: message})
}

func (c *checker) hasError() bool {
	return slices.ContainsFunc(c.findings, func(f Finding) bool { return f.Severity == Error })
}

func (c *checker) checkRoute(r *site.Route, e *Entry) {
	if !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
		c.add(Error, e.value(FieldPrefix), InvalidPrefix, "must begin and end with a slash, not "+strconv.Quote(r.Prefix))
	}
	if r.Host == "" || hasPort(r.Host) {
		c.add(Warning, e.value(FieldHost), UnmatchedHost, "never matches: hosts are compared whole, without a port")
	}
	c.checkTargets(r, e)
	c.checkTimes(r, e)
	c.checkAttempts(r, e)
	c.checkRegions(r, e)
}

// hasPort reports whether the end of a host is taken for a port.
func hasPort(host string) bool { return strings.Contains(host, ":") && !strings.HasSuffix(host, "]") }

func (c *checker) checkTargets(r *site.Route, e *Entry) {
	if len(r.Targets) == 0 {
		c.add(Error, e.value(FieldTargets), MissingTarget, "no service")
		return
	}
	total := 0
	for i, target := range r.Targets {
		if _, isDefined := c.document.Config.Services[target.Service]; !isDefined {
			c.add(Error, e.Targets[i], UndefinedService, "service "+strconv.Quote(string(target.Service))+" is not defined")
		}
		total += target.Weight
	}
	if total == 0 {
		c.add(Error, e.value(FieldTargets), NoWeight, "the weights of all parts are 0")
		return
	}
	for i, target := range r.Targets {
		if target.Weight == 0 {
			c.add(Warning, e.Targets[i], ZeroWeight, "weight 0: service "+strconv.Quote(string(target.Service))+" gets no request of this route")
		}
	}
	if e.HasSingle && len(r.Targets) > 1 {
		c.add(Warning, e.Targets[0], SingleAndSplit, "a single service beside a split gets requests by the weight 1")
	}
}

func (c *checker) checkTimes(r *site.Route, e *Entry) {
	if r.Target == 0 {
		c.add(Warning, e.value(FieldObjective), NoObjective, "0 or missing: every answer counts as late")
	}
	if r.Timeout > 0 && r.Timeout < r.Target {
		c.add(Warning, e.value(FieldTimeout), TimeoutTooShort, r.Timeout.String()+" is below the objective of "+r.Target.String())
	}
}

func (c *checker) checkAttempts(r *site.Route, e *Entry) {
	if r.Attempts == 0 {
		c.add(Warning, e.value(FieldAttempts), NoAttempts, "0 or missing: counts as 1")
	}
	for _, target := range r.Targets {
		servers, isKnown := c.known.Servers[target.Service]
		if isKnown && target.Weight > 0 && r.Attempts > servers {
			c.add(Warning, e.value(FieldAttempts), TooManyAttempts, strconv.Itoa(r.Attempts)+" attempts at different servers, of "+strconv.Itoa(servers)+" of service "+strconv.Quote(string(target.Service)))
		}
	}
}

func (c *checker) checkRegions(r *site.Route, e *Entry) {
	if len(c.known.Regions) == 0 || len(r.Regions) == 0 {
		return
	}
	unknown := 0
	for _, region := range r.Regions {
		if !c.known.Regions[region] {
			unknown++
			c.add(Warning, e.value(FieldRegions), UnknownRegion, "no zone is in region "+strconv.Quote(region))
		}
	}
	if unknown == len(r.Regions) {
		c.add(Error, e.value(FieldRegions), NoUsableRegion, "no zone is in any of the regions: no server may get requests of this route")
	}
}

// checkShadowing finds routes with the host and prefix of an earlier one, which gets all of their requests.
func (c *checker) checkShadowing() {
	first := map[[2]string]*Entry{}
	for i := range c.document.Config.Routes {
		r, e := &c.document.Config.Routes[i], &c.document.Routes[i]
		key := [2]string{r.Host, r.Prefix}
		if earlier := first[key]; earlier != nil {
			c.add(Warning, e.value(FieldPrefix), ShadowedRoute, "never matches: "+earlier.Path+" has the same host and prefix")
			continue
		}
		first[key] = e
	}
}

func (c *checker) checkNames(entries []Entry, consequence string) {
	first := map[string]string{}
	for i := range entries {
		e := &entries[i]
		if path, exists := first[e.Name]; exists {
			c.add(Warning, e.value(FieldName), DuplicateName, "the name "+strconv.Quote(e.Name)+" is that of "+path+": "+consequence)
			continue
		}
		first[e.Name] = e.Path
	}
}

// checkUnusedServices finds services without a route.
func (c *checker) checkUnusedServices() {
	used := map[site.ServiceName]bool{}
	for _, r := range c.document.Config.Routes {
		for _, target := range r.Targets {
			used[target.Service] = true
		}
	}
	for i := range c.document.Services {
		e := &c.document.Services[i]
		if !used[site.ServiceName(e.Name)] {
			c.add(Warning, e.value(FieldName), UnusedService, "no route sends requests to service "+strconv.Quote(e.Name))
		}
	}
}

// checkRejection reports what nodes reject and no other check has found.
func (c *checker) checkRejection() {
	if c.hasError() {
		return
	}
	if err := c.document.Config.Check(); err != nil {
		c.add(Error, Value{}, Rejected, err.Error())
	}
}
