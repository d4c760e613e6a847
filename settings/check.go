package settings

import (
	"fmt"
	"regexp"
	"time"
)

const (
	keyPrefix       = "sha256:"
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
