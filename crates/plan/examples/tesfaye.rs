//! Prints the configuration of `plan::tesfaye`.

fn main() -> Result<(), plan::PlanError> {
    println!("{}", plan::tesfaye()?.to_json()?);
    Ok(())
}
