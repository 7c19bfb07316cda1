declare module '*.proto' {
  const text: string;
  export default text;
}
