//! Prints the configuration of `plan::brno`.

fn main() -> Result<(), plan::PlanError> {
    println!("{}", plan::brno()?.to_json()?);
    Ok(())
}
