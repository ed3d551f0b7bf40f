# Developer targets; .ci/run runs test and lint together.
.PHONY: build test lint run check

build:
	cargo build --release

test:
	cargo test --workspace --locked

lint:
	cargo fmt --all --check
	cargo clippy --workspace --all-targets --locked -- -D warnings

# Needs a configuration: make run CONFIG=path/to/config.json
run: build
	target/release/stonescale serve $(if $(CONFIG),--config $(CONFIG))

check: build
	target/release/stonescale check $(if $(CONFIG),--config $(CONFIG))
