//! Declarations of simulated fleets of any size.

use std::{fmt::Write, sync::Arc};

use jasminestage_core::world::{self, World};

/// A workspace to declare.
#[derive(Clone, Copy, Debug)]
pub struct Tenant {
    pub name: &'static str,
    pub rate: u32,
    pub burst: u32,
}

/// Typical workspaces: a few large ones and small ones.
pub const CURRENT_TENANTS: &[Tenant] = &[
    Tenant { name: "gearbox", rate: 300, burst: 300 },
    Tenant { name: "windpark", rate: 200, burst: 200 },
    Tenant { name: "schiene", rate: 150, burst: 150 },
    Tenant { name: "werkstatt", rate: 40, burst: 40 },
    Tenant { name: "pruefstand", rate: 20, burst: 20 },
    Tenant { name: "seilbahn", rate: 10, burst: 20 },
    Tenant { name: "schulung", rate: 5, burst: 10 },
    Tenant { name: "archiv", rate: 5, burst: 10 },
];

/// Number of regions, of failure domains in each region, and of seats in each domain.
#[derive(Clone, Copy, Debug)]
pub struct Layout {
    pub regions: usize,
    pub domains: usize,
    pub seats: u16,
}

/// Three regions of two failure domains with two hosts each.
pub const SMALL: Layout = Layout { regions: 3, domains: 2, seats: 2 };

impl Layout {
    pub fn hosts(self) -> usize {
        self.regions * self.domains * usize::from(self.seats)
    }
}

/// Name of the failure domain with this number.
pub fn domain_name(number: usize) -> String {
    format!("d{number}")
}

/// Builds a declaration with these workspaces.
pub fn declare(layout: Layout, tenants: &[Tenant]) -> Arc<World> {
    let mut text = String::new();
    for region in 0..layout.regions {
        writeln!(text, "[region r{region}]").expect("writing to a string cannot fail");
    }
    for number in 0..layout.regions * layout.domains {
        let (name, region) = (domain_name(number), number / layout.domains);
        let seats = layout.seats;
        writeln!(text, "[domain {name}]\nregion = r{region}\nseats = {seats}")
            .expect("writing to a string cannot fail");
    }
    for Tenant { name, rate, burst } in tenants {
        writeln!(text, "[workspace {name}]\nrate = {rate}\nburst = {burst}")
            .expect("writing to a string cannot fail");
    }
    Arc::new(world::parse(&text).expect("the declaration is valid"))
}
