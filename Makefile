BUILD ?= build
JOBS ?= 6
PACKAGES = gcc g++ make cmake pkg-config libev-dev libmicrohttpd-dev \
	libcurl4-openssl-dev libtirpc-dev libglib2.0-dev libjson-glib-dev \
	libxxhash-dev librapidcheck-dev

.PHONY: all deps build demo test bench bench-policy lint format clean

all: build

deps:
	@scripts/install-packages $(PACKAGES)

build: deps
	@cmake -S . -B $(BUILD) -DCMAKE_BUILD_TYPE=RelWithDebInfo >$(BUILD).log 2>&1 || { cat $(BUILD).log; exit 1; }
	@rm -f $(BUILD).log
	@cmake --build $(BUILD) -j $(JOBS) -- --no-print-directory -s

demo: build
	@$(BUILD)/demo --programs=$(BUILD)

test: build
	@scripts/run-tests $(BUILD)

bench: build
	@$(BUILD)/bench-entry --programs=$(BUILD)

lint:
	@scripts/lint

format:
	@git ls-files '*.c' '*.h' '*.cc' | grep -v generated | xargs clang-format -i

clean:
	rm -rf $(BUILD)
