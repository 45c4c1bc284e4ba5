# cyclamenhaven: build, test and run.  `make help` lists the targets.

CC       ?= gcc
BUILD    := build
# gcc-ar loads the plugin of the compiler; plain ar loads every plugin that is
# installed.
AR       := gcc-ar
PACKAGES := glib-2.0 jansson libmicrohttpd libcurl libprotobuf-c ck libxxhash zlib
DEBIAN   := build-essential pkg-config libck-dev libprotobuf-c-dev \
            libmicrohttpd-dev libcurl4-openssl-dev libjansson-dev \
            libglib2.0-dev check libsubunit-dev libxxhash-dev zlib1g-dev clang-format \
            clang-tidy cppcheck curl strace
SANITIZE ?=

# pkg-config runs once per make, and only if it is installed: `make deps` installs
# it on a fresh machine.  The target `libraries` reports missing libraries.
PKG      := $(shell command -v pkg-config 2>/dev/null)
PKG_INC  := $(if $(PKG),$(shell $(PKG) --cflags $(PACKAGES) 2>/dev/null))
PKG_LIB  := $(if $(PKG),$(shell $(PKG) --libs $(PACKAGES) 2>/dev/null))
# Only tests use the test library.  pkg-config looks it up on first use, once per
# make, so that a build of the programs works without it.
CHK_INC   = $(eval CHK_INC := $(shell $(PKG) --cflags check))$(CHK_INC)
CHK_LIB   = $(eval CHK_LIB := $(shell $(PKG) --libs check))$(CHK_LIB)

CFLAGS   ?= -O2 -g
override CFLAGS += -std=gnu11 -Wall -Wextra -Wstrict-prototypes \
            -Wmissing-prototypes -Wshadow -Werror -fno-omit-frame-pointer \
            -pthread $(SANITIZE)
CPPFLAGS := -D_GNU_SOURCE -Isrc -I. -Iinclude -I$(BUILD)/gen -Iproto $(PKG_INC)
LDLIBS   := $(PKG_LIB) -pthread -lm
LDFLAGS  := $(SANITIZE)

# A folder of src/ with a main.c is a program; all other sources go into libcy.a.
MAINS    := $(wildcard src/*/main.c)
LIB_SRC  := $(filter-out $(MAINS) src/declare/%,$(wildcard src/*/*.c)) \
            $(wildcard platform/*.c) $(wildcard proto/*.pb-c.c)
LIB_OBJ  := $(LIB_SRC:%.c=$(BUILD)/%.o)
DECL_SRC := $(wildcard src/declare/*.c)
DECL_OBJ := $(DECL_SRC:%.c=$(BUILD)/%.o) $(BUILD)/src/base/cy_result.o

program   = $(if $(filter cyctl,$(1)),cyctl,cy-$(1))
PROGRAMS := $(foreach m,$(MAINS),$(BUILD)/bin/$(call program,$(notdir $(patsubst %/,%,$(dir $(m))))))

TEST_SRC := $(wildcard tests/test_*.c tests/*/test_*.c)
TEST_BIN := $(TEST_SRC:%.c=$(BUILD)/%)
BENCH_SRC := $(wildcard bench/bench_*.c bench/*/bench_*.c)
BENCH_BIN := $(BENCH_SRC:%.c=$(BUILD)/%)
LOAD_BIN := $(BUILD)/bench/load_lookup # used by capacity_requests.sh, checks no bound
EXAMPLE_SRC := $(wildcard examples/*.c)
EXAMPLE_BIN := $(EXAMPLE_SRC:%.c=$(BUILD)/%)

# Expanded by the targets that use them: a build needs no git.
FORMAT_SRC = $(shell git ls-files -co --exclude-standard '*.c' '*.h' | grep -v '\.pb-c\.')
LINT_SRC   = $(filter %.c,$(FORMAT_SRC))

.PHONY: all deps need-deps libraries demo check proofs bench capacity lint \
        packages format format-check proto clean help install tests examples \
        benches
.SECONDARY:

all: need-deps
	@$(MAKE) --no-print-directory build-all

.PHONY: build-all build-programs
build-all: build-programs $(BUILD)/libcydeclare.a $(EXAMPLE_BIN)

build-programs: $(PROGRAMS)

help:           ## Lists the targets.
	@grep -hE '^[a-z-]+:.*##' Makefile | sed 's/:.*##/ :/'

deps:           ## Installs the Debian packages that the build needs.
	scripts/deps.sh $(DEBIAN)

need-deps:
	@pkg-config --exists $(PACKAGES) check || scripts/deps.sh $(DEBIAN)

# Reports missing libraries before the compiler fails at a missing header.
libraries:
	@pkg-config --print-errors --exists $(PACKAGES)

$(BUILD)/%.o: %.c | libraries
	@mkdir -p $(@D)
	@echo "CC $<"
	@$(CC) $(CPPFLAGS) $(TEST_INC) $(CFLAGS) -MMD -MP -c -o $@ $<

$(BUILD)/proto/%.o: CFLAGS += -Wno-shadow
$(BUILD)/tests/%.o: TEST_INC = -Itests $(CHK_INC)
$(BUILD)/bench/%.o: TEST_INC = -Itests

$(BUILD)/libcy.a: $(LIB_OBJ)
	@mkdir -p $(@D)
	@rm -f $@ && $(AR) rcs $@ $^

$(BUILD)/libcydeclare.a: $(DECL_OBJ)
	@mkdir -p $(@D)
	@rm -f $@ && $(AR) rcs $@ $^

define PROGRAM_RULE
$(BUILD)/bin/$(call program,$(1)): $(BUILD)/src/$(1)/main.o $(BUILD)/libcy.a
	@mkdir -p $$(@D)
	@$$(CC) $$(LDFLAGS) -o $$@ $$^ $$(LDLIBS)
endef
$(foreach m,$(MAINS),$(eval $(call PROGRAM_RULE,$(notdir $(patsubst %/,%,$(dir $(m)))))))

$(BUILD)/tests/%: $(BUILD)/tests/%.o $(BUILD)/libcy.a $(BUILD)/libcydeclare.a
	@$(CC) $(LDFLAGS) -o $@ $^ $(CHK_LIB) $(LDLIBS)

$(BUILD)/bench/%: $(BUILD)/bench/%.o $(BUILD)/libcy.a
	@$(CC) $(LDFLAGS) -o $@ $^ $(LDLIBS)

$(BUILD)/examples/%: $(BUILD)/examples/%.o $(BUILD)/libcydeclare.a
	@$(CC) $(LDFLAGS) -o $@ $^ $(LDLIBS)

tests: $(TEST_BIN)
examples: $(EXAMPLE_BIN)
benches: $(BENCH_BIN) $(LOAD_BIN)

demo: all       ## Runs the whole path on loopback and prints what it measured.
	@scripts/demo.sh

check: all      ## Runs every test; ends with "N passed, N failed".
	@$(MAKE) --no-print-directory tests
	@scripts/check.sh $(TEST_BIN)

proofs: all     ## Runs the failure proofs of docs/PROOFS.md.
	@$(MAKE) --no-print-directory tests
	@scripts/proofs.sh

bench: all      ## Runs the benchmarks with their bounds.
	@$(MAKE) --no-print-directory $(BENCH_BIN)
	@scripts/bench.sh $(BENCH_BIN)

capacity: all   ## Measures the slopes of docs/CAPACITY.md and checks the budget.
	@$(MAKE) --no-print-directory $(BENCH_BIN) $(LOAD_BIN)
	@scripts/capacity.sh

install: all    ## Installs programs, library and pages: DESTDIR=, PREFIX=.
	scripts/install.sh "$(DESTDIR)" "$(or $(PREFIX),/usr/local)"

lint:           ## Runs cppcheck and clang-tidy.
	@scripts/lint.sh $(LINT_SRC)

packages:       ## Fails when the deploy file's build uses an unlisted package.
	@tests/packages/check.sh

format:         ## Formats every source file.
	@clang-format -i $(FORMAT_SRC)

format-check:   ## Fails when a source file is not formatted.
	@clang-format --dry-run --Werror $(FORMAT_SRC)

proto:          ## Regenerates the committed protobuf code.
	protoc-c --c_out=proto -I proto proto/*.proto

clean:          ## Removes the build folder.
	rm -rf $(BUILD)

-include $(shell find $(BUILD) -name '*.d' 2>/dev/null)
