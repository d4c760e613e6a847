package settings

import (
	"fmt"
	"regexp"
	"time"
)

const (
	keyPrefix       = "sha256:"
	maxAccelerators = 64
	// defaultAdapterSlots is how many adapters a replica holds at once if its model sets no number.
	defaultAdapterSlots = 4
)

var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9._-]{0,62}$`)

// Parse decodes, checks and resolves sources as one tree. The error lists every problem
// with its file, line and remedy.
func Parse(sources ...Source) (*Tree, error) {
	tree, problems := Check(sources...)
	if len(problems) > 0 {
		return nil, problemsError(problems)
	}
	return tree, nil
}

// Check is like Parse but returns the problems as values.
func Check(sources ...Source) (*Tree, []Problem) {
	check := &checker{
		positions: newSourceSet(sources),
		tree:      newTree(),
		declared:  map[string]location{},
	}
	documents := check.decodeAll(sources)
	if len(check.problems) > 0 {
		return nil, check.problems
	}
	check.documents(documents)
	check.tree.positions = check.positions
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
	}
}

// checker builds a tree and collects problems.
type checker struct {
	positions *sourceSet
	tree      *Tree
	problems  []Problem
	declared  map[string]location // unique names, by kind and name
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

// documents checks regions, services and branches in this order, so that references
// resolve.
func (c *checker) documents(documents []Document) {
	for index, document := range documents {
		c.tree.document.Regions = append(c.tree.document.Regions, document.Regions...)
		c.tree.document.Services = append(c.tree.document.Services, document.Services...)
		c.tree.document.Branches = append(c.tree.document.Branches, document.Branches...)
		for number, region := range document.Regions {
			c.region(location{index, fmt.Sprintf("$.regions[%d]", number)}, region)
		}
	}
	for index, document := range documents {
		for number, service := range document.Services {
			c.service(location{index, fmt.Sprintf("$.services[%d]", number)}, service)
		}
	}
	for index, document := range documents {
		for number, branch := range document.Branches {
			c.branch(location{index, fmt.Sprintf("$.branches[%d]", number)}, nil, branch)
		}
	}
}

func (c *checker) report(at location, name, remedy, format string, args ...any) {
	position := c.positions.position(at)
	c.problems = append(c.problems, Problem{
		File: position.File, Line: position.Line, Column: position.Column,
		Path: name, Message: fmt.Sprintf(format, args...), Remedy: remedy,
	})
}

func (at location) child(key string) location { return location{at.source, at.yaml + "." + key} }

func (at location) item(key string, index int) location {
	return location{at.source, fmt.Sprintf("%s.%s[%d]", at.yaml, key, index)}
}

// requireUnique records a name and reports its second declaration.
func (c *checker) requireUnique(at location, kind, name string) {
	key := kind + " " + name
	if first, found := c.declared[key]; found {
		position := c.positions.position(first)
		c.report(at, name, "rename one of them", "%s %q is already declared at %s:%d", kind, name, position.File, position.Line)
		return
	}
	c.declared[key] = at
}

func (c *checker) name(at location, kind, name string) {
	if !namePattern.MatchString(name) {
		c.report(at.child("name"), kind+"s", "use 1 to 63 of a-z, 0-9, dot, dash and underscore, starting with a letter or digit",
			"%s name %q is not valid", kind, name)
		return
	}
	c.requireUnique(at.child("name"), kind, name)
}

func (c *checker) region(at location, document RegionDocument) {
	c.name(at, "region", document.Name)
	label := "regions." + document.Name
	if len(document.Zones) == 0 {
		c.report(at.child("zones"), label+".zones", "list at least one zone", "the region has no zones")
	}
	for index, zone := range document.Zones {
		c.requireUnique(at.item("zones", index), "zone", zone)
	}
	region := Region{Name: document.Name, Zones: document.Zones}
	if document.WeightStore == nil {
		c.report(at, label+".weight_store", "set loads_per_second and concurrent_loads", "the region has no limits for loads")
	} else {
		region.LoadsPerSecond = document.WeightStore.LoadsPerSecond
		region.ConcurrentLoads = document.WeightStore.ConcurrentLoads
		if region.LoadsPerSecond <= 0 {
			c.report(at.child("weight_store.loads_per_second"), label+".weight_store.loads_per_second",
				"use a number above 0", "%v loads a second would never load a model", region.LoadsPerSecond)
		}
		if region.ConcurrentLoads < 1 {
			c.report(at.child("weight_store.concurrent_loads"), label+".weight_store.concurrent_loads",
				"use 1 or more", "%d loads at once would never load a model", region.ConcurrentLoads)
		}
	}
	c.tree.Regions[document.Name] = region
}

func (c *checker) service(at location, document ServiceDocument) {
	c.name(at, "service", document.Name)
	label := "services." + document.Name
	for index, region := range document.Regions {
		if _, known := c.tree.Regions[region]; !known {
			c.report(at.item("regions", index), label+".regions", "declare it under regions or correct the name", "region %q is not declared", region)
		}
	}
	if len(document.Regions) == 0 {
		c.report(at.child("regions"), label+".regions", "list at least one region", "the service has no region")
	}
	c.requireAtLeast(at.child("replicas"), label+".replicas", document.Replicas, 1)
	c.requireAtLeast(at.child("accelerators"), label+".accelerators", document.Accelerators, 1)
	if document.Accelerators > maxAccelerators {
		c.report(at.child("accelerators"), label+".accelerators", "use 1 to 64", "%d accelerators on one engine is too many", document.Accelerators)
	}
	c.tree.Services[document.Name] = Service{
		Name:                   document.Name,
		Regions:                document.Regions,
		Replicas:               document.Replicas,
		Accelerators:           document.Accelerators,
		AcceleratorMemoryBytes: c.size(at.child("accelerator_memory"), label+".accelerator_memory", document.AcceleratorMemory),
	}
}

func (c *checker) requireAtLeast(at location, label string, value, minimum int) {
	if value < minimum {
		c.report(at, label, fmt.Sprintf("use %d or more", minimum), "%d is below the minimum of %d", value, minimum)
	}
}

func (c *checker) size(at location, label, text string) int64 {
	bytes, err := ParseSize(text)
	if err != nil {
		c.report(at, label, "write a size like 24GiB", "%v", err)
		return 0
	}
	if bytes <= 0 {
		c.report(at, label, "use a size above zero", "size %q is not above zero", text)
	}
	return bytes
}

func (c *checker) duration(at location, label, text string) time.Duration {
	duration, err := parsePositiveDuration(text)
	if err != nil {
		c.report(at, label, "write a duration like 30s, 10m or 8h", "%v", err)
	}
	return duration
}
