//! Compares the committed gRPC code with the generator's output for the definitions.
//!
//! `UPDATE_GENERATED=1 cargo test -p wire` regenerates it.

use std::{env, fs, path::Path};

#[test]
fn committed_code_matches_definitions() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let files = protox::compile(["kv.proto", "fleet.proto"], [root.join("proto")])
        .expect("definitions compile");
    let out = env::temp_dir().join(format!("sardinestall-wire-{}", std::process::id()));
    fs::create_dir_all(&out).expect("temporary directory");
    tonic_prost_build::configure()
        .out_dir(&out)
        .compile_fds(files)
        .expect("code is generated");
    for name in ["kv.v1.rs", "fleet.v1.rs"] {
        let generated = fs::read_to_string(out.join(name)).expect("generated file");
        let committed = root.join("src/generated").join(name);
        if env::var_os("UPDATE_GENERATED").is_some() {
            fs::create_dir_all(committed.parent().expect("parent")).expect("directory");
            fs::write(&committed, &generated).expect("written");
        }
        let current = fs::read_to_string(&committed).unwrap_or_default();
        assert!(
            current == generated,
            "{name} differs: run UPDATE_GENERATED=1 cargo test -p wire"
        );
    }
    fs::remove_dir_all(&out).expect("removed");
}
