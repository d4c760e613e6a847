package settings

import (
	"path"
	"slices"
	"strings"

	"github.com/finchspoke/finchspoke/callers"
	"github.com/finchspoke/finchspoke/request"
)

// branch resolves one branch from its parent and goes on to its children.
func (c *checker) branch(at place, parent *Branch, document BranchDocument) {
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
		c.fail(at.child("name"), "branches", "use 1 to 63 of a-z, 0-9, dot, dash and underscore", "branch name %q is not valid", document.Name)
	}
	c.unique(at.child("name"), "branch", branch.Path)
	c.keysOf(at, branch, document)
	c.override(at, branch, document)
	c.tree.Branches[branch.Path] = branch
	for index, model := range document.Models {
		c.model(at.item("models", index), branch, model)
	}
	for index, child := range document.Branches {
		c.branch(at.item("branches", index), branch, child)
	}
}

func (c *checker) keysOf(at place, branch *Branch, document BranchDocument) {
	for index, key := range document.Keys {
		where := at.item("keys", index)
		digits, prefixed := strings.CutPrefix(key, keyPrefix)
		hash, valid := callers.ParseHash(digits)
		if !prefixed || !valid {
			c.fail(where, "branches."+branch.Path+".keys", "write sha256: and the 64 hexadecimal digits that `finchspoke settings hash-key` prints",
				"a key must be given as its SHA-256 hash")
			continue
		}
		c.unique(where, "key", hash.String())
		c.tree.keys.Add(hash, branch.Path)
	}
}

// override applies what the branch sets itself and records where it stands.
func (c *checker) override(at place, branch *Branch, document BranchDocument) {
	label := "branches." + branch.Path + "."
	set := func(name string) place {
		where := at.child(name)
		branch.Origins[name] = Origin{Branch: branch.Path, at: where}
		return where
	}
	values := &branch.Values
	if len(document.Allow) > 0 {
		where := set("allow")
		values.Allow = document.Allow
		for _, pattern := range document.Allow {
			if _, err := path.Match(pattern, ""); err != nil {
				c.fail(where, label+"allow", "use * and ? as wildcards", "pattern %q is not valid", pattern)
			}
		}
	}
	if document.Class != "" {
		where := set("class")
		class, err := request.ParseClass(document.Class)
		if err != nil {
			c.fail(where, label+"class", "use interactive, standard or bulk", "%v", err)
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
			values.Deadlines[class] = c.duration(set(name), label+name, text)
		}
	}
	if document.Limits != nil {
		c.limits(at.child("limits"), label+"limits.", document.Limits, &values.Limits, func(name string) { set("limits." + name) })
	}
	if document.Share != nil {
		c.atLeast(set("share"), label+"share", *document.Share, 1)
		values.Share = *document.Share
	}
	if document.MaxBody != "" {
		values.MaxBody = c.size(set("max_body"), label+"max_body", document.MaxBody)
	}
	if document.Placement != nil {
		c.placement(at.child("placement"), label+"placement.", document.Placement, values, func(name string) {
			set("placement." + name)
		})
	}
}

// limits applies overrides of limits.
func (c *checker) limits(at place, label string, document *LimitsDocument, values *Limits, set func(string)) {
	whole := func(name string, given *int, least int, into *int) {
		if given != nil {
			set(name)
			c.atLeast(at.child(name), label+name, *given, least)
			*into = *given
		}
	}
	whole("max_waiting", document.MaxWaiting, 1, &values.MaxWaiting)
	whole("max_running", document.MaxRunning, 0, &values.MaxRunning)
	whole("tokens_per_minute", document.TokensPerMinute, 0, &values.TokensPerMinute)
	if document.RequestsPerSecond != nil {
		set("requests_per_second")
		if *document.RequestsPerSecond < 0 {
			c.fail(at.child("requests_per_second"), label+"requests_per_second", "use 0 for no limit, or more", "%v is below 0", *document.RequestsPerSecond)
		}
		values.RequestsPerSecond = *document.RequestsPerSecond
	}
}

// placement applies placement overrides to values.
func (c *checker) placement(at place, label string, document *PlacementDocument, values *Values, set func(string)) {
	if document.MinReplicas != nil {
		set("min_replicas")
		c.atLeast(at.child("min_replicas"), label+"min_replicas", *document.MinReplicas, 0)
		values.MinReplicas = *document.MinReplicas
	}
	if document.MaxReplicas != nil {
		set("max_replicas")
		c.atLeast(at.child("max_replicas"), label+"max_replicas", *document.MaxReplicas, 1)
		values.MaxReplicas = *document.MaxReplicas
	}
	if document.IdleAfter != "" {
		set("idle_after")
		values.IdleAfter = c.duration(at.child("idle_after"), label+"idle_after", document.IdleAfter)
	}
	if document.Concurrency != nil {
		set("concurrency")
		c.atLeast(at.child("concurrency"), label+"concurrency", *document.Concurrency, 1)
		values.Concurrency = *document.Concurrency
	}
	if values.MinReplicas > values.MaxReplicas {
		c.fail(at, label+"min_replicas", "lower min_replicas or raise max_replicas",
			"min_replicas %d is above max_replicas %d", values.MinReplicas, values.MaxReplicas)
	}
}

func (c *checker) model(at place, branch *Branch, document ModelDocument) {
	c.name(at, "model", document.Name)
	label := "branches." + branch.Path + ".models." + document.Name
	values := branch.Values
	if document.Placement != nil {
		c.placement(at.child("placement"), label+".placement.", document.Placement, &values, func(string) {})
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
		c.atLeast(at.child("adapter_slots"), label+".adapter_slots", *document.AdapterSlots, 1)
		model.AdapterSlots = *document.AdapterSlots
	}
	if document.Version == "" {
		c.fail(at, label+".version", `give a version such as "1"`, "the model has no version")
	}
	c.atLeast(at.child("accelerators"), label+".accelerators", document.Accelerators, 1)
	c.fits(at, label, model)
	c.tree.Models[model.Name] = model
	c.tree.Targets[model.Name] = Target{Name: model.Name, Model: model.Name}
	for index, adapter := range document.Adapters {
		c.name(at.item("adapters", index), "model", adapter.Name)
		model.Adapters = append(model.Adapters, adapter.Name)
		c.tree.Targets[adapter.Name] = Target{Name: adapter.Name, Model: model.Name}
	}
}

// fits checks that an empty engine of the service could hold the model.
func (c *checker) fits(at place, label string, model *Model) {
	service, known := c.tree.Services[model.Service]
	if !known {
		c.fail(at.child("service"), label+".service", "declare it under services or mend the name", "service %q is not declared", model.Service)
		return
	}
	model.ServiceRegions = service.Regions
	if model.Accelerators > service.Accelerators {
		c.fail(at.child("accelerators"), label+".accelerators", "lower it or use another service",
			"the model needs %d accelerators and engines of %s have %d", model.Accelerators, service.Name, service.Accelerators)
	}
	if model.MemoryBytes > service.AcceleratorMemoryBytes {
		c.fail(at.child("memory"), label+".memory", "spread the model over more accelerators or use another service",
			"the model needs %s on an accelerator and those of %s have %s",
			FormatSize(model.MemoryBytes), service.Name, FormatSize(service.AcceleratorMemoryBytes))
	}
}
