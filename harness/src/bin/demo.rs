//! Runs the main job: a system of processes, requests of both first users, edits of the text.

use anyhow::{Context, Result, ensure};
use harness::{Http, Response, Stage, System, key};
use hyper::Method;
use std::path::PathBuf;

#[tokio::main]
async fn main() -> Result<()> {
    let text = std::fs::read_to_string("examples/demo.ini").context("examples/demo.ini")?;
    let folder = PathBuf::from(std::env::args().nth(1).context("usage: demo FOLDER")?);
    let own = std::env::current_exe()?;
    let programs = own.parent().context("programs are in a folder")?;
    let stage = Stage::Processes(programs.join("standin"));
    let mut system = System::start(&stage, &programs.join("citrontrack"), &text, &folder).await?;
    for _ in 0..3 {
        system.start_instance().await?;
    }
    let text = system.text.clone();
    let generation = system.publish(&text).await?;
    println!(
        "generation {generation} is in force at {} instances",
        system.instances.len()
    );
    serve(&system).await?;
    system.stop().await?;
    println!("all processes ended by their ids");
    Ok(())
}

async fn serve(system: &System) -> Result<()> {
    let caller = system.instances[0].caller;
    for (organisation, service) in [("wadi-clinics", "advisory"), ("vermeulen-gent", "advice")] {
        let http = Http::new(&key(organisation));
        let plain = http
            .chat(caller, service, false, &[], "Is my tap safe?")
            .await?;
        check(&plain, 200)?;
        let streamed = http
            .chat(caller, service, true, &[], "Is my tap safe?")
            .await?;
        check(&streamed, 200)?;
        ensure!(
            streamed.text().ends_with("data: [DONE]\n\n"),
            "the stream is whole"
        );
        println!("{organisation}: a plain and a streamed answer of {service}");
    }
    let http = Http::new(&key("vermeulen-gent"));
    let headers = [
        ("idempotency-key", "0193a7f0-0000-7000-8000-000000000001"),
        ("idempotency-attempt", "1"),
    ];
    let created = std::time::SystemTime::now()
        .duration_since(std::time::UNIX_EPOCH)?
        .as_millis();
    let created = created.to_string();
    let headers = [headers[0], headers[1], ("idempotency-created", &created)];
    let path = "/services/deposits/rollovers";
    let first = http
        .send(Method::POST, caller, path, &headers, "{}")
        .await?;
    check(&first, 200)?;
    let other = system.instances[1].caller;
    let again = http.send(Method::POST, other, path, &headers, "{}").await?;
    check(&again, 200)?;
    ensure!(
        again.header("idempotency-replayed") == "true",
        "the repeat got the stored outcome"
    );
    println!("vermeulen-gent: a rollover ran once, and its repeat elsewhere got the outcome");
    Ok(())
}

fn check(response: &Response, status: u16) -> Result<()> {
    let got = response.status.as_u16();
    ensure!(
        got == status,
        "wanted {status}, got {got}: {}",
        response.text()
    );
    Ok(())
}
