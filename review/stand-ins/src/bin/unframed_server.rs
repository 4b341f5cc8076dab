//! A model server whose answers have no length: they end with their connection. Each is a stream of events that
//! may be resumed. Prints its port, and a line for each run.
//!
//! Arguments: identifier, start time in Unix milliseconds, number of events, milliseconds between two, port (0: any).

use {
    std::{
        env,
        io::{self, BufReader, Write as _},
        net::{TcpListener, TcpStream},
        thread,
    },
    tamarackdale_review_stand_ins::{http, ms},
};

#[derive(Clone)]
struct Server {
    id: String,
    born_ms: u64,
    events: u64,
    interval_ms: u64,
}

fn main() -> io::Result<()> {
    let arguments: Vec<String> = env::args().skip(1).collect();
    let number = |index: usize| {
        let text = arguments.get(index).map_or("", String::as_str);
        text.parse::<u64>().map_err(io::Error::other)
    };
    let server = Server {
        id: arguments.first().cloned().unwrap_or_default(),
        born_ms: number(1)?,
        events: number(2)?,
        interval_ms: number(3)?,
    };
    let listener = TcpListener::bind(("127.0.0.1", number(4)? as u16))?;
    println!("{}", listener.local_addr()?.port());
    for stream in listener.incoming().flatten() {
        let server = server.clone();
        thread::spawn(move || server.serve(stream));
    }
    Ok(())
}

impl Server {
    fn serve(&self, stream: TcpStream) -> Option<()> {
        stream.set_nodelay(true).ok()?;
        let mut writer = stream.try_clone().ok()?;
        let mut reader = BufReader::new(stream);
        loop {
            let head = http::read_head(&mut reader).ok()??;
            http::read_body(&mut reader, &head).ok()?;
            let id = head.get("attempt-id").unwrap_or_default();
            if head.word(1) == "/report" {
                let body = format!(
                    r#"{{"stage":"mixed","models":[{{"name":"m","version":1,"adapters":[]}}],"busy":false,"sequence":2,"queued":0,"running":1,"kv_used":41000,"kv_total":629551,"handles":0,"born":{}}}"#,
                    self.born_ms
                );
                let answer = format!(
                    "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
                    body.len()
                );
                writer.write_all(answer.as_bytes()).ok()?;
                continue;
            }
            if head
                .get("expect-instance")
                .is_some_and(|expected| expected != self.id)
            {
                let answer = format!(
                    "HTTP/1.1 421 Misdirected Request\r\nAttempt-Id: {id}\r\nContent-Length: 0\r\n\r\n"
                );
                writer.write_all(answer.as_bytes()).ok()?;
                continue;
            }
            let last = head.get("last-event-id").and_then(|last| last.parse().ok());
            let last = last.unwrap_or(0u64);
            println!("{} runs {id} after event {last}", self.id);
            thread::sleep(ms(60));
            let answer = format!(
                "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nResponse-Seal: seal-{id}\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n"
            );
            writer.write_all(answer.as_bytes()).ok()?;
            for event in last + 1..=self.events {
                let text = format!("id: {event}\ndata: piece {event} of {}\n\n", self.events);
                writer.write_all(text.as_bytes()).ok()?;
                thread::sleep(ms(self.interval_ms));
            }
            println!("{} has ended {id} after its last event", self.id);
            return None;
        }
    }
}
