//! JSON-RPC 2.0, one object to a line.

use serde_json::{Value, json};

/// Where the fields of a line go.
pub trait MessageHandler {
    fn on_result(&mut self, id: u64, result: &Value);
    fn on_error(&mut self, id: u64, message: &str);
    fn on_notification(&mut self, method: &str, params: &Value);
}

pub fn write_request(out: &mut Vec<u8>, id: u64, method: &str, params: Value) {
    let mut call = json!({"jsonrpc": "2.0", "id": id, "method": method});
    if !params.is_null() {
        call["params"] = params;
    }
    out.extend_from_slice(call.to_string().as_bytes());
    out.push(b'\n');
}

/// Hands on what a line says; an error where it is no message.
pub fn dispatch_message(line: &[u8], handler: &mut impl MessageHandler) -> Result<(), &'static str> {
    let message: Value = serde_json::from_slice(line).map_err(|_| "not JSON")?;
    if let Some(method) = message.get("method") {
        let method = method.as_str().ok_or("method is not a text")?;
        handler.on_notification(method, message.get("params").unwrap_or(&Value::Null));
        return Ok(());
    }
    let id = message.get("id").and_then(Value::as_u64).ok_or("neither a method nor the id of a call")?;
    match (message.get("result"), message.get("error")) {
        (_, Some(error)) if !error.is_null() => {
            handler.on_error(id, error.get("message").and_then(Value::as_str).unwrap_or("no message"));
        }
        (Some(result), _) => handler.on_result(id, result),
        _ => return Err("neither a result nor an error"),
    }
    Ok(())
}
