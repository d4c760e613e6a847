package settings

import (
	"path"
	"slices"
	"strings"

	"github.com/finchspoke/finchspoke/callers"
	"github.com/finchspoke/finchspoke/request"
)

// branch resolves a branch from its parent, then its models and child branches.
func (c *checker) branch(at location, parent *Branch, document BranchDocument) {
	branch := &Branch{Path: document.Name, Values: defaultValues(), Origins: map[string]Origin{}}
	if parent != nil {
		branch.Path = parent.Path + "/" + document.Name
		branch.Values = parent.Values
		branch.chain = slices.Clone(parent.chain)
		for name, origin := range parent.Origins {
			branch.Origins[name] = origin
		}
	}
	branch.chain = append(branch.chain, branch.Path)
	if !namePattern.MatchString(document.Name) {
		c.report(at.child("name"), "branches", "use 1 to 63 of a-z, 0-9, dot, dash and underscore", "branch name %q is not valid", document.Name)
	}
	c.requireUnique(at.child("name"), "branch", branch.Path)
	c.checkKeys(at, branch, document)
	c.applyOverrides(at, branch, document)
	c.tree.Branches[branch.Path] = branch
	for index, model := range document.Models {
		c.model(at.item("models", index), branch, model)
	}
	for index, child := range document.Branches {
		c.branch(at.item("branches", index), branch, child)
	}
}

func (c *checker) checkKeys(at location, branch *Branch, document BranchDocument) {
	for index, key := range document.Keys {
		keyAt := at.item("keys", index)
		digits, prefixed := strings.CutPrefix(key, keyPrefix)
		hash, valid := callers.ParseHash(digits)
		if !prefixed || !valid {
			c.report(keyAt, "branches."+branch.Path+".keys", "use the output of `finchspoke settings hash-key`: sha256: and 64 hexadecimal digits",
				"a key must be given as its SHA-256 hash")
			continue
		}
		c.requireUnique(keyAt, "key", hash.String())
		c.tree.keys.Add(hash, branch.Path)
	}
}

// applyOverrides applies the values that the branch itself sets and records their origins.
func (c *checker) applyOverrides(at location, branch *Branch, document BranchDocument) {
	label := "branches." + branch.Path + "."
	recordOrigin := func(name string) location {
		valueAt := at.child(name)
		branch.Origins[name] = Origin{Branch: branch.Path, at: valueAt}
		return valueAt
	}
	values := &branch.Values
	if len(document.Allow) > 0 {
		valueAt := recordOrigin("allow")
		values.Allow = document.Allow
		for _, pattern := range document.Allow {
			if _, err := path.Match(pattern, ""); err != nil {
				c.report(valueAt, label+"allow", "use * and ? as wildcards", "pattern %q is not valid", pattern)
			}
		}
	}
	if document.Class != "" {
		valueAt := recordOrigin("class")
		class, err := request.ParseClass(document.Class)
		if err != nil {
			c.report(valueAt, label+"class", "use interactive, standard or bulk", "%v", err)
		}
		values.Class = class
	}
	if document.Deadlines != nil {
		texts := [request.ClassCount]string{document.Deadlines.Interactive, document.Deadlines.Standard, document.Deadlines.Bulk}
		for class, text := range texts {
			if text == "" {
				continue
			}
			name := "deadlines." + request.Class(class).String()
			values.Deadlines[class] = c.duration(recordOrigin(name), label+name, text)
		}
	}
	if document.Limits != nil {
		c.applyLimits(at.child("limits"), label+"limits.", document.Limits, &values.Limits, func(name string) { recordOrigin("limits." + name) })
	}
	if document.Share != nil {
		c.requireAtLeast(recordOrigin("share"), label+"share", *document.Share, 1)
		values.Share = *document.Share
	}
	if document.MaxBody != "" {
		values.MaxBody = c.size(recordOrigin("max_body"), label+"max_body", document.MaxBody)
	}
	if document.Placement != nil {
		c.applyPlacement(at.child("placement"), label+"placement.", document.Placement, values, func(name string) {
			recordOrigin("placement." + name)
		})
	}
}

// applyLimits applies the limits that a branch sets.
func (c *checker) applyLimits(at location, label string, document *LimitsDocument, values *Limits, recordOrigin func(string)) {
	integer := func(name string, value *int, minimum int, target *int) {
		if value != nil {
			recordOrigin(name)
			c.requireAtLeast(at.child(name), label+name, *value, minimum)
			*target = *value
		}
	}
	integer("max_waiting", document.MaxWaiting, 1, &values.MaxWaiting)
	integer("max_running", document.MaxRunning, 0, &values.MaxRunning)
	integer("tokens_per_minute", document.TokensPerMinute, 0, &values.TokensPerMinute)
	if document.RequestsPerSecond != nil {
		recordOrigin("requests_per_second")
		if *document.RequestsPerSecond < 0 {
			c.report(at.child("requests_per_second"), label+"requests_per_second", "use 0 for no limit, or more", "%v is below 0", *document.RequestsPerSecond)
		}
		values.RequestsPerSecond = *document.RequestsPerSecond
	}
}

// applyPlacement applies the placement values that a branch or model sets.
func (c *checker) applyPlacement(at location, label string, document *PlacementDocument, values *Values, recordOrigin func(string)) {
	if document.MinReplicas != nil {
		recordOrigin("min_replicas")
		c.requireAtLeast(at.child("min_replicas"), label+"min_replicas", *document.MinReplicas, 0)
		values.MinReplicas = *document.MinReplicas
	}
	if document.MaxReplicas != nil {
		recordOrigin("max_replicas")
		c.requireAtLeast(at.child("max_replicas"), label+"max_replicas", *document.MaxReplicas, 1)
		values.MaxReplicas = *document.MaxReplicas
	}
	if document.IdleAfter != "" {
		recordOrigin("idle_after")
		values.IdleAfter = c.duration(at.child("idle_after"), label+"idle_after", document.IdleAfter)
	}
	if document.Concurrency != nil {
		recordOrigin("concurrency")
		c.requireAtLeast(at.child("concurrency"), label+"concurrency", *document.Concurrency, 1)
		values.Concurrency = *document.Concurrency
	}
	if values.MinReplicas > values.MaxReplicas {
		c.report(at, label+"min_replicas", "lower min_replicas or raise max_replicas",
			"min_replicas %d is above max_replicas %d", values.MinReplicas, values.MaxReplicas)
	}
}

func (c *checker) model(at location, branch *Branch, document ModelDocument) {
	c.name(at, "model", document.Name)
	label := "branches." + branch.Path + ".models." + document.Name
	values := branch.Values
	if document.Placement != nil {
		c.applyPlacement(at.child("placement"), label+".placement.", document.Placement, &values, func(string) {})
	}
	model := &Model{
		Name: document.Name, Branch: branch.Path, Service: document.Service, Version: document.Version,
		Accelerators: document.Accelerators,
		MemoryBytes:  c.size(at.child("memory"), label+".memory", document.Memory),
		AdapterSlots: defaultAdapterSlots,
		MinReplicas:  values.MinReplicas, MaxReplicas: values.MaxReplicas,
		IdleAfter: values.IdleAfter, Concurrency: values.Concurrency,
	}
	if document.AdapterSlots != nil {
		c.requireAtLeast(at.child("adapter_slots"), label+".adapter_slots", *document.AdapterSlots, 1)
		model.AdapterSlots = *document.AdapterSlots
	}
	if document.Version == "" {
		c.report(at, label+".version", `set a version such as "1"`, "the model has no version")
	}
	c.requireAtLeast(at.child("accelerators"), label+".accelerators", document.Accelerators, 1)
	c.checkCapacity(at, label, model)
	c.tree.Models[model.Name] = model
	c.tree.Targets[model.Name] = Target{Name: model.Name, Model: model.Name}
	for index, adapter := range document.Adapters {
		c.name(at.item("adapters", index), "model", adapter.Name)
		model.Adapters = append(model.Adapters, adapter.Name)
		c.tree.Targets[adapter.Name] = Target{Name: adapter.Name, Model: model.Name}
	}
}

// checkCapacity reports a model that does not fit on an empty engine of its service.
func (c *checker) checkCapacity(at location, label string, model *Model) {
	service, known := c.tree.Services[model.Service]
	if !known {
		c.report(at.child("service"), label+".service", "declare it under services or correct the name", "service %q is not declared", model.Service)
		return
	}
	model.ServiceRegions = service.Regions
	if model.Accelerators > service.Accelerators {
		c.report(at.child("accelerators"), label+".accelerators", "lower it or use another service",
			"the model needs %d accelerators but engines of %s have %d", model.Accelerators, service.Name, service.Accelerators)
	}
	if model.MemoryBytes > service.AcceleratorMemoryBytes {
		c.report(at.child("memory"), label+".memory", "spread the model over more accelerators or use another service",
			"the model needs %s per accelerator and those of %s have %s",
			FormatSize(model.MemoryBytes), service.Name, FormatSize(service.AcceleratorMemoryBytes))
	}
}
