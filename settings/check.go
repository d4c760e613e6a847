package settings

import (
	"fmt"
	"path"
	"regexp"
	"slices"
	"strings"
	"time"

	"github.com/finchspoke/finchspoke/request"
)

const (
	keyPrefix       = "sha256:"
	keyLength       = len(keyPrefix) + 64
	maxAccelerators = 64
	// defaultAdapterSlots is how many adapters a replica holds unless said.
	defaultAdapterSlots = 4
)

var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9._-]{0,62}$`)

// Parse reads, checks and resolves sources as one tree. On failure the error
// names every problem found with its file, line and remedy.
func Parse(sources ...Source) (*Tree, error) {
	tree, problems := Check(sources...)
	if len(problems) > 0 {
		return nil, problemsError(problems)
	}
	return tree, nil
}

// Check is Parse with the problems as values, for reports.
func Check(sources ...Source) (*Tree, []Problem) {
	check := &checker{
		set:  newSourceSet(sources),
		tree: newTree(),
		seen: map[string]place{},
	}
	documents := check.decodeAll(sources)
	if len(check.problems) > 0 {
		return nil, check.problems
	}
	check.documents(documents)
	check.tree.set = check.set
	if len(check.problems) > 0 {
		return nil, check.problems
	}
	return check.tree, nil
}

func newTree() *Tree {
	return &Tree{
		Regions:  map[string]Region{},
		Services: map[string]Service{},
		Models:   map[string]*Model{},
		Targets:  map[string]Target{},
		Branches: map[string]*Branch{},
		keys:     map[string]string{},
	}
}

// checker gathers problems while it builds the tree.
type checker struct {
	set      *sourceSet
	tree     *Tree
	problems []Problem
	seen     map[string]place // names that must be unique, by kind and name
}

func (c *checker) decodeAll(sources []Source) []Document {
	documents := make([]Document, 0, len(sources))
	for _, source := range sources {
		document, problem := decode(source)
		if problem != nil {
			c.problems = append(c.problems, *problem)
		}
		documents = append(documents, document)
	}
	return documents
}

// documents checks in an order in which what is referred to comes first.
func (c *checker) documents(documents []Document) {
	for index, document := range documents {
		c.tree.document.Regions = append(c.tree.document.Regions, document.Regions...)
		c.tree.document.Services = append(c.tree.document.Services, document.Services...)
		c.tree.document.Branches = append(c.tree.document.Branches, document.Branches...)
		for number, region := range document.Regions {
			c.region(place{index, fmt.Sprintf("$.regions[%d]", number)}, region)
		}
	}
	for index, document := range documents {
		for number, service := range document.Services {
			c.service(place{index, fmt.Sprintf("$.services[%d]", number)}, service)
		}
	}
	for index, document := range documents {
		for number, branch := range document.Branches {
			c.branch(place{index, fmt.Sprintf("$.branches[%d]", number)}, nil, branch)
		}
	}
}

func (c *checker) fail(at place, name, remedy, format string, args ...any) {
	position := c.set.position(at)
	c.problems = append(c.problems, Problem{
		File: position.File, Line: position.Line, Column: position.Column,
		Path: name, Message: fmt.Sprintf(format, args...), Remedy: remedy,
	})
}

func (at place) child(key string) place { return place{at.source, at.yaml + "." + key} }

func (at place) item(key string, index int) place {
	return place{at.source, fmt.Sprintf("%s.%s[%d]", at.yaml, key, index)}
}

// unique records a name and reports a second use of it.
func (c *checker) unique(at place, kind, name string) {
	key := kind + " " + name
	if first, taken := c.seen[key]; taken {
		position := c.set.position(first)
		c.fail(at, name, "rename one of them", "%s %q is already declared at %s:%d", kind, name, position.File, position.Line)
		return
	}
	c.seen[key] = at
}

func (c *checker) name(at place, kind, name string) {
	if !namePattern.MatchString(name) {
		c.fail(at.child("name"), kind+"s", "use 1 to 63 of a-z, 0-9, dot, dash and underscore, starting with a letter or digit",
			"%s name %q is not valid", kind, name)
		return
	}
	c.unique(at.child("name"), kind, name)
}

func (c *checker) region(at place, document RegionDocument) {
	c.name(at, "region", document.Name)
	label := "regions." + document.Name
	if len(document.Zones) == 0 {
		c.fail(at.child("zones"), label+".zones", "name at least one zone", "the region has no zones")
	}
	for index, zone := range document.Zones {
		c.unique(at.item("zones", index), "zone", zone)
	}
	region := Region{Name: document.Name, Zones: document.Zones}
	if document.WeightStore == nil {
		c.fail(at, label+".weight_store", "give loads_per_second and concurrent_loads", "the region has no loads budget")
	} else {
		region.LoadsPerSecond = document.WeightStore.LoadsPerSecond
		region.ConcurrentLoads = document.WeightStore.ConcurrentLoads
		if region.LoadsPerSecond <= 0 {
			c.fail(at.child("weight_store.loads_per_second"), label+".weight_store.loads_per_second",
				"use a number above 0", "%v loads a second would never load a model", region.LoadsPerSecond)
		}
		if region.ConcurrentLoads < 1 {
			c.fail(at.child("weight_store.concurrent_loads"), label+".weight_store.concurrent_loads",
				"use 1 or more", "%d loads at once would never load a model", region.ConcurrentLoads)
		}
	}
	c.tree.Regions[document.Name] = region
}

func (c *checker) service(at place, document ServiceDocument) {
	c.name(at, "service", document.Name)
	label := "services." + document.Name
	for index, region := range document.Regions {
		if _, known := c.tree.Regions[region]; !known {
			c.fail(at.item("regions", index), label+".regions", "declare it under regions or mend the name", "region %q is not declared", region)
		}
	}
	if len(document.Regions) == 0 {
		c.fail(at.child("regions"), label+".regions", "name at least one region", "the service has no region")
	}
	c.atLeast(at.child("replicas"), label+".replicas", document.Replicas, 1)
	c.atLeast(at.child("accelerators"), label+".accelerators", document.Accelerators, 1)
	if document.Accelerators > maxAccelerators {
		c.fail(at.child("accelerators"), label+".accelerators", "use 1 to 64", "%d accelerators on one engine is too many", document.Accelerators)
	}
	c.tree.Services[document.Name] = Service{
		Name:                   document.Name,
		Regions:                document.Regions,
		Replicas:               document.Replicas,
		Accelerators:           document.Accelerators,
		AcceleratorMemoryBytes: c.size(at.child("accelerator_memory"), label+".accelerator_memory", document.AcceleratorMemory),
	}
}

func (c *checker) atLeast(at place, label string, value, least int) {
	if value < least {
		c.fail(at, label, fmt.Sprintf("use %d or more", least), "%d is below the least value %d", value, least)
	}
}

func (c *checker) size(at place, label, text string) int64 {
	bytes, err := ParseSize(text)
	if err != nil {
		c.fail(at, label, "write a size like 24GiB", "%v", err)
		return 0
	}
	if bytes <= 0 {
		c.fail(at, label, "use a size above zero", "size %q is not above zero", text)
	}
	return bytes
}

func (c *checker) duration(at place, label, text string) time.Duration {
	duration, err := parsePositiveDuration(text)
	if err != nil {
		c.fail(at, label, "write a duration like 30s, 10m or 8h", "%v", err)
	}
	return duration
}

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
		if len(key) != keyLength || !strings.HasPrefix(key, keyPrefix) {
			c.fail(where, "branches."+branch.Path+".keys", "write sha256: and the 64 hexadecimal digits that `finchspoke settings hash-key` prints",
				"a key must be given as its SHA-256 hash")
			continue
		}
		c.unique(where, "key", key)
		c.tree.keys[key] = branch.Path
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
