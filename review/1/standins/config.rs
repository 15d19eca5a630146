//! The configuration of the small deployment.

/// Returns a configuration with a safe and an unsafe route.
pub fn text(version: u32) -> String {
    let route = |name: &str, service: &str, kind: &str| {
        format!(
            r#"{{"resource-kind":"routes","metadata":{{"name":"{name}"}},"spec":{{"host":"shop.example","path-prefix":"/{name}/","type":"{kind}","timeout":"1200ms","target-latency":"600ms","priority":1,"service":"{service}","max-attempts":2,"public":false,"session-affinity":false,"allowed-regions":[]}}}}"#
        )
    };
    let service = |name: &str| {
        format!(
            r#"{{"resource-kind":"services","metadata":{{"name":"{name}"}},"spec":{{"health-path":"/health","max-connections":390,"protocol":"h1","tls":false,"cold-start":"3s","cold-per-s":11.0}}}}"#
        )
    };
    let resources = [
        route("read", "lookup", "safe"),
        route("book", "booking", "unsafe"),
        service("lookup"),
        service("booking"),
        r#"{"resource-kind":"limits","metadata":{},"spec":{"max-header-bytes":16384,"max-body-bytes":67108864,"header-timeout":"3000ms","idle-timeout":"15000ms"}}"#
            .to_owned(),
    ];
    format!(r#"{{"version":"{version:08x}","resources":[{}]}}"#, resources.join(","))
}
