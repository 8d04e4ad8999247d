BUILD ?= build
JOBS ?= 6
PACKAGES = gcc g++ make cmake pkg-config libev-dev libmicrohttpd-dev \
	libcurl4-openssl-dev libtirpc-dev libglib2.0-dev libjson-glib-dev \
	libxxhash-dev librapidcheck-dev
TEST_PACKAGES = clang libclang-rt-14-dev

.PHONY: all deps build demo test bench bench-policy lint format clean $(BUILD)-sanitized $(BUILD)-fuzz

all: build

deps:
	@scripts/install-packages $(PACKAGES)

build: deps
	@cmake -S . -B $(BUILD) -DCMAKE_BUILD_TYPE=RelWithDebInfo >$(BUILD).log 2>&1 || { cat $(BUILD).log; exit 1; }
	@rm -f $(BUILD).log
	@cmake --build $(BUILD) -j $(JOBS) -- --no-print-directory -s

demo: build
	@$(BUILD)/demo --programs=$(BUILD)

$(BUILD)-sanitized: deps
	@cmake -S . -B $@ -DSANITIZE=ON -DCMAKE_BUILD_TYPE=Debug >/dev/null
	@cmake --build $@ -j $(JOBS) -- --no-print-directory -s unit-base unit-tables unit-raft unit-membership unit-waves unit-sched unit-scale unit-pools unit-runs unit-suspects unit-access unit-accounts unit-admission unit-interference unit-jobs unit-codec unit-order-sender unit-snapshot unit-storage \
		property-raft property-fleet property-storage property-jobs property-jobs-troubles property-advice property-gangs

$(BUILD)-fuzz: deps
	@scripts/install-packages $(TEST_PACKAGES)
	@CC=clang CXX=clang++ cmake -S . -B $@ -DFUZZ=ON -DCMAKE_BUILD_TYPE=RelWithDebInfo >/dev/null
	@cmake --build $@ -j $(JOBS) -- --no-print-directory -s fuzz-parsers

test: build $(BUILD)-sanitized $(BUILD)-fuzz
	@scripts/run-tests $(BUILD)

bench: build
	@$(BUILD)/bench-entry --programs=$(BUILD)
	@$(BUILD)/bench-control
	@$(BUILD)/bench-storage

bench-policy: build
	@$(BUILD)/bench-policy

lint:
	@scripts/lint

format:
	@git ls-files '*.c' '*.h' '*.cc' | grep -v generated | xargs clang-format -i

clean:
	rm -rf $(BUILD) $(BUILD)-sanitized $(BUILD)-fuzz
